"""Generates Python code and documentation from the schemas.

The Cap'n Proto schemas give the message classes; settings.toml gives the
settings code and the settings page. Run `python -m bamboosill_dev.generate`
to write the files; with `--check` it only reports those that are out of date.
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

_PYTHON_SCALARS = {
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
_DOC_COMMENT = re.compile(
    r"^(struct|enum) (\w+) \{\n((?:  # .*\n)*)", re.MULTILINE
)


def convert_to_snake_case(name: str) -> str:
    """Returns a camelCase name in snake_case."""
    return re.sub(r"([A-Z])", lambda match: "_" + match[1].lower(), name)


def describe_field(name: str, field: Any) -> dict[str, str]:
    """Returns the values with which the template renders a struct field."""
    slot_type = field.proto.slot.type
    kind = slot_type.which()
    python_name = convert_to_snake_case(name)
    values = {"name": python_name, "wire": name, "kind": "scalar", "item": ""}
    if kind == "list":
        element = slot_type.list.elementType.which()
        item = (
            field.schema.elementType.node.displayName.split(":")[-1]
            if element == "struct"
            else _PYTHON_SCALARS[element][0]
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
        default_name = min(
            names, key=lambda enumerant: field.schema.enumerants[enumerant]
        )
        values |= {
            "kind": "enum",
            "type": "str",
            "default": f'"{default_name}"',
        }
    else:
        values["type"], values["default"] = _PYTHON_SCALARS[kind]
    return values


def sort_by_dependency(structs: dict[str, list[dict[str, str]]]) -> list[str]:
    """Returns struct names in order, each after the structs it contains.

    A generated class names the classes of its fields, which must exist.
    """
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
        for match in _DOC_COMMENT.finditer(text)
    }
    module = codec.load_schema(path.stem)
    struct_names = re.findall(r"^struct (\w+) \{", text, re.MULTILINE)
    structs = {
        name: [
            describe_field(field_name, field)
            for field_name, field in getattr(module, name).schema.fields.items()
        ]
        for name in struct_names
    }
    return render(
        "messages.py.jinja",
        file=path.stem,
        docs=docs,
        structs=[(name, structs[name]) for name in sort_by_dependency(structs)],
    )


def render(template: str, **values: Any) -> str:
    """Renders a template of this package with the given values."""
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
    """Returns the up-to-date content of each generated file by its path."""
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
    """Writes the generated files, or checks whether they are up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    stale_count = 0
    for path, content in generate_all().items():
        if path.exists() and path.read_text() == content:
            continue
        stale_count += 1
        if options.check:
            print(f"stale: {path.name}; run make generate")
        else:
            path.write_text(content)
    return 1 if options.check and stale_count else 0


if __name__ == "__main__":
    sys.exit(main())
