"""Assembles one instance from its settings and runs it."""

import asyncio
import random
import secrets
import time
from typing import Any

import aiomisc
from aiohttp import web

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import settings as settings_lib
from bamboosill_common import tls
from bamboosill_common.generated import control as control_messages
from bamboosill_common.generated import settings as generated

_log = logs.get_logger("instance")
