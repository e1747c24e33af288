"""The deploy file's list of system packages, compared with what build and programs use."""

import importlib.metadata
import pathlib
import re
import tomllib
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
DEPLOY: typing.Final = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BUILD: typing.Final = (ROOT / "deploy" / "build").read_text()

# Builtins and keywords of the shell.
SHELL_WORDS: typing.Final = frozenset(
    "[ break case cd do done else exit export fi for if set then while".split()
)
# On every system: essential in Debian (dash, coreutils, findutils), or needed by everything (libc6).
EVERY_SYSTEM: typing.Final = {
    "sh": "dash",
    **dict.fromkeys(["cat", "cp", "cut", "mkdir", "mv", "rm", "sha256sum", "touch"], "coreutils"),
    "find": "findutils",
}
LIBRARIES_OF_EVERY_SYSTEM: typing.Final = frozenset(
    {"libc.so.6", "libm.so.6", "libpthread.so.0", "libdl.so.2", "librt.so.1"}
)
# The packages to be listed, by the command, Python module or shared library that needs them.
COMMANDS: typing.Final = {"python3": "python3"}
MODULES: typing.Final = {"pip": "python3-pip", "compileall": "python3"}
LIBRARIES: typing.Final = {"libgcc_s.so.1": "libgcc-s1", "libstdc++.so.6": "libstdc++6"}


def _commands(script: str) -> set[str]:
    """Return the first word of each simple command in a shell script."""
    lines = "\n".join(line for line in script.splitlines() if not line.lstrip().startswith("#"))
    # The content of $(...) is a command too; keywords such as `then` precede the command of a branch.
    parts = re.split(r"[;|\n]|&&|\|\||\$\(", lines.replace("\\\n", " "))
    found = set()
    for part in parts:
        words = part.split()
        while words and (words[0] in ("do", "then", "else", "if") or re.match(r"\w+=", words[0])):
            words.pop(0)
        if words:
            found.add(words[0])
    return found - SHELL_WORDS


def _modules(text: str) -> set[str]:
    """Return the modules that are run with `python3 -m`."""
    return set(re.findall(r"python3 (?:-\w+ )*-m (\w+)", text))


def _start_commands() -> str:
    """Return the commands that start the build and the programs."""
    return "\n".join([DEPLOY["build"], *(role["run"] for role in DEPLOY["roles"].values())])


def _distributions() -> set[str]:
    """Return the names of the pinned libraries and all their dependencies in this environment."""
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    pending = [line.partition("==")[0] for line in lines if line and not line.startswith("#")]
    found: set[str] = set()
    while pending:
        name = re.sub(r"[-_.]+", "-", pending.pop()).lower()
        if name in found:
            continue
        found.add(name)
        for requirement in importlib.metadata.requires(name) or []:
            if "extra ==" not in requirement:
                match = re.match(r"[\w.-]+", requirement)
                assert match is not None
                if _installed(match.group()):
                    pending.append(match.group())
    return found


def _installed(name: str) -> bool:
    """Whether a library is installed; requirements of other interpreters or systems are not."""
    try:
        importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        return False
    return True


def _libraries() -> set[str]:
    """Return the shared libraries that extension modules of the pinned libraries refer to."""
    found: set[str] = set()
    for name in _distributions():
        for file in importlib.metadata.files(name) or []:
            if file.name.endswith(".so"):
                data = pathlib.Path(str(file.locate())).read_bytes()
                found.update(m.decode() for m in re.findall(rb"\0(lib[\w+-]+\.so\.\d+)(?=\0)", data))
    return found


def test_every_command_of_build_and_run_is_in_a_listed_package() -> None:
    commands = _commands(BUILD) | _commands(_start_commands())
    assert {"sh", "python3", "sha256sum", "find"} <= commands
    assert commands - EVERY_SYSTEM.keys() - COMMANDS.keys() == set()
    modules = _modules(BUILD) | _modules(_start_commands())
    assert "pip" in modules
    assert modules - MODULES.keys() == set()
    needed = {COMMANDS[c] for c in commands if c in COMMANDS} | {MODULES[m] for m in modules}
    assert needed <= set(DEPLOY["packages"])


def test_every_shared_library_of_the_wheels_is_in_a_listed_package() -> None:
    assert "libc.so.6" in _libraries()
    others = _libraries() - LIBRARIES_OF_EVERY_SYSTEM
    assert {LIBRARIES[name] for name in others} <= set(DEPLOY["packages"])


def test_no_package_is_listed_that_nothing_asks_for() -> None:
    needed = {COMMANDS[c] for c in _commands(BUILD + "\n" + _start_commands()) if c in COMMANDS}
    needed |= {MODULES[m] for m in _modules(BUILD + "\n" + _start_commands())}
    needed |= {LIBRARIES[name] for name in _libraries() if name in LIBRARIES}
    assert sorted(DEPLOY["packages"]) == sorted(needed)


def test_a_command_that_is_in_no_listed_package_is_found() -> None:
    script = (
        'set -eu\nif [ -e x ]; then sum=$(jq . x | cut -c1); fi\nfor f in *; do make "$f" && git add .; done'
    )
    assert _commands(script) == {"jq", "cut", "make", "git"}
    assert _modules("python3 -S -m venv x\npython3 -m pip install") == {"venv", "pip"}


# The users' test bench refuses sources that name these: programs must communicate only by the network.
SHARED_MEMORY: typing.Final = ("/dev/" + "shm", "shared_" + "memory")


def test_no_source_names_shared_memory() -> None:
    sources = [*ROOT.glob("packages/**/*.py"), *ROOT.glob("platform/*.py"), *ROOT.glob("deploy/*")]
    assert len(sources) > 100
    found = [str(path) for path in sources if any(name in path.read_text() for name in SHARED_MEMORY)]
    assert found == []
