"""The deploy file names existing files, and its commands build and start the program from a copy of these."""

import os
import shutil
import subprocess
import tomllib

from test_adapter import REQUEST_BATCH, START_BATCH, run_host
from world import ROOT, Backend, World, request, run

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
ENVIRONMENT = dict(os.environ, PYTHONDONTWRITEBYTECODE="1")


def run_in_shell(command, directory, **options):
    return subprocess.run(["/bin/sh", "-c", command], cwd=directory, env=ENVIRONMENT, timeout=600, **options)


class Deployed(World):
    """Starts the program with the command `run` of the deploy file, in `directory`."""

    def command(self):
        return [
            "-c",
            f"import os; os.chdir({str(self.directory)!r}); "
            f"os.execv('/bin/sh', ['/bin/sh', '-c', {DEPLOY['run']!r}])",
        ]


def test_the_deploy_files_commands_build_and_start_the_program(tmp_path):
    for name in {path.split("/")[0] for path in DEPLOY["policy"] + DEPLOY["node"]}:
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    assert run_in_shell(DEPLOY["build"], tmp_path).returncode == 0
    for name in DEPLOY["policy"] + DEPLOY["node"]:
        assert (tmp_path / name).exists()
        # The program may run on a read-only file system, so the build compiles its bytecode.
        assert list((tmp_path / name.split("/")[0]).glob("__pycache__/*.pyc"))

    process = run_in_shell(
        DEPLOY["sim"], tmp_path, input=(START_BATCH + REQUEST_BATCH).encode(), capture_output=True
    )
    assert process.returncode == 0 and process.stdout.decode() == run_host(START_BATCH + REQUEST_BATCH)

    async def scene():
        world = Deployed({"b1": Backend()})
        world.directory = tmp_path
        async with world as gateway:
            assert (await gateway.call(request())).status == 200
            assert await gateway.stop() == 0

    run(scene)

    # A build replaces the environment only if the requirements have changed.
    (tmp_path / ".venv" / "mark").touch()
    assert run_in_shell(DEPLOY["build"], tmp_path).returncode == 0 and (tmp_path / ".venv" / "mark").exists()
    with open(tmp_path / "requirements.txt", "a") as file:
        file.write("# changed\n")
    assert (
        run_in_shell(DEPLOY["build"], tmp_path).returncode == 0 and not (tmp_path / ".venv" / "mark").exists()
    )
