"""The deploy file's list of system packages, held against what build and run use."""

import importlib.metadata
import pathlib
import re
import tomllib
import typing

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
DEPLOY: typing.Final = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BUILD: typing.Final = (ROOT / "deploy" / "build").read_text()

# Words of the shell itself.
SHELL: typing.Final = frozenset("[ break case cd do done else exit export fi for if set then while".split())
# Part of every system: essential in Debian (dash, coreutils, findutils), or under all else (libc6).
EVERY_SYSTEM: typing.Final = {
    "sh": "dash",
    **dict.fromkeys(["cat", "cp", "cut", "mkdir", "mv", "rm", "sha256sum", "touch"], "coreutils"),
    "find": "findutils",
}
LIBRARIES_OF_EVERY_SYSTEM: typing.Final = frozenset(
    {"libc.so.6", "libm.so.6", "libpthread.so.0", "libdl.so.2", "librt.so.1"}
)
# What has to be listed, by the command, Python module or shared library that asks for it.
COMMANDS: typing.Final = {"python3": "python3"}
MODULES: typing.Final = {"pip": "python3-pip", "compileall": "python3"}
LIBRARIES: typing.Final = {"libgcc_s.so.1": "libgcc-s1", "libstdc++.so.6": "libstdc++6"}


def _commands(script: str) -> set[str]:
    """The first word of every simple command in a shell script."""
    lines = "\n".join(line for line in script.splitlines() if not line.lstrip().startswith("#"))
    # What stands in $(...) is a command too; a branch's word comes before its command.
    parts = re.split(r"[;|\n]|&&|\|\||\$\(", lines.replace("\\\n", " "))
    found = set()
    for part in parts:
        words = part.split()
        while words and (words[0] in ("do", "then", "else", "if") or re.match(r"\w+=", words[0])):
            words.pop(0)
        if words:
            found.add(words[0])
    return found - SHELL


def _modules(text: str) -> set[str]:
    """Every module that is run with `python3 -m`."""
    return set(re.findall(r"python3 (?:-\w+ )*-m (\w+)", text))


def _started() -> str:
    """The lines by which build and programs are started."""
    return "\n".join([DEPLOY["build"], *(role["run"] for role in DEPLOY["roles"].values())])


def _distributions() -> set[str]:
    """The pinned libraries with all that they need, by name, as this environment has them."""
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    waits = [line.partition("==")[0] for line in lines if line and not line.startswith("#")]
    found: set[str] = set()
    while waits:
        name = re.sub(r"[-_.]+", "-", waits.pop()).lower()
        if name in found:
            continue
        found.add(name)
        for need in importlib.metadata.requires(name) or []:
            if "extra ==" not in need:
                match = re.match(r"[\w.-]+", need)
                assert match is not None
                if _installed(match.group()):
                    waits.append(match.group())
    return found


def _installed(name: str) -> bool:
    """Whether it is here; what another interpreter or system would need is not."""
    try:
        importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        return False
    return True


def _libraries() -> set[str]:
    """Every shared library that an extension module of the pinned libraries names."""
    found: set[str] = set()
    for name in _distributions():
        for file in importlib.metadata.files(name) or []:
            if file.name.endswith(".so"):
                data = pathlib.Path(str(file.locate())).read_bytes()
                found.update(m.decode() for m in re.findall(rb"\0(lib[\w+-]+\.so\.\d+)(?=\0)", data))
    return found


def test_every_command_of_build_and_run_is_in_a_listed_package() -> None:
    commands = _commands(BUILD) | _commands(_started())
    assert {"sh", "python3", "sha256sum", "find"} <= commands
    assert commands - EVERY_SYSTEM.keys() - COMMANDS.keys() == set()
    modules = _modules(BUILD) | _modules(_started())
    assert "pip" in modules
    assert modules - MODULES.keys() == set()
    needed = {COMMANDS[c] for c in commands if c in COMMANDS} | {MODULES[m] for m in modules}
    assert needed <= set(DEPLOY["packages"])


def test_every_shared_library_of_the_wheels_is_in_a_listed_package() -> None:
    assert "libc.so.6" in _libraries()
    others = _libraries() - LIBRARIES_OF_EVERY_SYSTEM
    assert {LIBRARIES[name] for name in others} <= set(DEPLOY["packages"])


def test_no_package_is_listed_that_nothing_asks_for() -> None:
    asked = {COMMANDS[c] for c in _commands(BUILD + "\n" + _started()) if c in COMMANDS}
    asked |= {MODULES[m] for m in _modules(BUILD + "\n" + _started())}
    asked |= {LIBRARIES[name] for name in _libraries() if name in LIBRARIES}
    assert sorted(DEPLOY["packages"]) == sorted(asked)


def test_a_command_that_is_in_no_listed_package_is_found() -> None:
    script = (
        'set -eu\nif [ -e x ]; then sum=$(jq . x | cut -c1); fi\nfor f in *; do make "$f" && git add .; done'
    )
    assert _commands(script) == {"jq", "cut", "make", "git"}
    assert _modules("python3 -S -m venv x\npython3 -m pip install") == {"venv", "pip"}


# What the users' bench refuses in sources: programs share no memory but by the network.
SHARED_MEMORY: typing.Final = ("/dev/" + "shm", "shared_" + "memory")


def test_no_source_names_shared_memory() -> None:
    sources = [*ROOT.glob("packages/**/*.py"), *ROOT.glob("platform/*.py"), *ROOT.glob("deploy/*")]
    assert len(sources) > 100
    naming = [str(path) for path in sources if any(name in path.read_text() for name in SHARED_MEMORY)]
    assert naming == []
