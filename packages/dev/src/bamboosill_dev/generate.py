"""Generates message and settings code, and the settings page, from schemas.

Run `python -m bamboosill_dev.generate` to write the files and with `--check`
to only compare them.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import tomllib
from typing import Any

import jinja2

from bamboosill_common import codec

GENERATED_DIR = codec.SCHEMA_DIR.parent / "generated"
DOCS_DIR = pathlib.Path(__file__).parents[4] / "docs"
TEMPLATE_DIR = pathlib.Path(__file__).parent / "templates"

_SCALARS = {
    "bool": ("bool", "False"),
    "text": ("str", '""'),
    "data": ("bytes", 'b""'),
    "float32": ("float", "0.0"),
    "float64": ("float", "0.0"),
    "enum": ("str", '""'),
} | {
    f"{sign}int{bits}": ("int", "0")
    for sign in ("", "u")
    for bits in (8, 16, 32, 64)
}
_DOC = re.compile(r"^(struct|enum) (\w+) \{\n((?:  # .*\n)*)", re.MULTILINE)


def convert_to_snake(name: str) -> str:
    """Returns a camelCase name in snake_case."""
    return re.sub(r"([A-Z])", lambda match: "_" + match[1].lower(), name)


def describe_field(name: str, field: Any) -> dict[str, str]:
    """Returns the template values of one struct field."""
    slot_type = field.proto.slot.type
    kind = slot_type.which()
    snake = convert_to_snake(name)
    values = {"name": snake, "wire": name, "kind": "scalar", "item": ""}
    if kind == "list":
        element = slot_type.list.elementType.which()
        item = (
            field.schema.elementType.node.displayName.split(":")[-1]
            if element == "struct"
            else _SCALARS[element][0]
        )
        values |= {
            "kind": "structs" if element == "struct" else "list",
            "item": item,
            "type": f"tuple[{item}, ...]",
            "default": "()",
        }
    elif kind == "struct":
        item = field.schema.node.displayName.split(":")[-1]
        values |= {
            "kind": "struct",
            "item": item,
            "type": item,
            "default": f"{item}()",
        }
    elif kind == "enum":
        names = list(field.schema.enumerants)
        first = min(names, key=lambda each: field.schema.enumerants[each])
        values |= {"kind": "enum", "type": "str", "default": f'"{first}"'}
    else:
        values["type"], values["default"] = _SCALARS[kind]
    return values


def sort_structs(structs: dict[str, list[dict[str, str]]]) -> list[str]:
    """Returns struct names so that each comes after those it contains."""
    ordered: list[str] = []

    def visit(name: str) -> None:
        if name in ordered:
            return
        for field in structs[name]:
            if field["item"] in structs:
                visit(field["item"])
        ordered.append(name)

    for name in structs:
        visit(name)
    return ordered


def generate_messages(path: pathlib.Path) -> str:
    """Returns the Python module for one Cap'n Proto schema file."""
    text = path.read_text()
    docs = {
        match[2]: " ".join(
            line.strip("# ").strip() for line in match[3].splitlines()
        )
        for match in _DOC.finditer(text)
    }
    module = codec.load_schema(path.stem)
    names = re.findall(r"^struct (\w+) \{", text, re.MULTILINE)
    structs = {
        name: [
            describe_field(field_name, field)
            for field_name, field in getattr(module, name).schema.fields.items()
        ]
        for name in names
    }
    return render(
        "messages.py.jinja",
        file=path.stem,
        docs=docs,
        structs=[(name, structs[name]) for name in sort_structs(structs)],
    )


def render(template: str, **values: Any) -> str:
    """Returns a rendered template."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(TEMPLATE_DIR),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        undefined=jinja2.StrictUndefined,
        autoescape=False,
    )
    environment.filters["python"] = repr
    return environment.get_template(template).render(**values)


def format_python(source: str) -> str:
    """Returns source code formatted by ruff."""
    completed = subprocess.run(
        [sys.executable, "-m", "ruff", "format", "--line-length=80", "-"],
        input=source,
        capture_output=True,
        check=True,
        text=True,
    )
    return completed.stdout


def generate_all() -> dict[pathlib.Path, str]:
    """Returns the content of each generated file."""
    files = {}
    paths = sorted(codec.SCHEMA_DIR.glob("*.capnp"))
    for path in paths:
        files[GENERATED_DIR / f"{path.stem}.py"] = format_python(
            generate_messages(path)
        )
    settings = tomllib.loads((codec.SCHEMA_DIR / "settings.toml").read_text())
    programs = ["daemon", "cli"]
    files[GENERATED_DIR / "settings.py"] = format_python(
        render(
            "settings.py.jinja", settings=settings["setting"], programs=programs
        )
    )
    files[DOCS_DIR / "settings.md"] = render(
        "settings.md.jinja", settings=settings["setting"], programs=programs
    )
    return files


def main() -> int:
    """Writes or checks the generated files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    stale = 0
    for path, content in generate_all().items():
        if path.exists() and path.read_text() == content:
            continue
        stale += 1
        if options.check:
            print(f"stale: {path.name}; run make generate")
        else:
            path.write_text(content)
    return 1 if options.check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
