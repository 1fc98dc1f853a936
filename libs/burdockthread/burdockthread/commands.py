"""The command line; each command calls one function of `actions`."""

import json
from dataclasses import dataclass, field
from typing import Annotated

import cappa
from cappa import Arg, Subcommands

from burdockthread import actions
from burdockthread.explain import render
from burdockthread.text_output import render_text

EXIT_FAILURE = 1
EXIT_SETTINGS = 2

Json = Annotated[bool, Arg(long="--json", help="Print JSON for programs.")]
EntryUrl = Annotated[
    str,
    Arg(
        long="--entry",
        default=cappa.Env("BURDOCKTHREAD_ENTRY", default="http://127.0.0.1:8081"),
        help="Address of the operators' port of an entry.",
    ),
]
Token = Annotated[
    str,
    Arg(
        long="--token",
        default=cappa.Env("BURDOCKTHREAD_TOKEN", default=""),
        show_default=False,
        help="Bearer token of the operator.",
    ),
]


def show(value: object, as_json: bool) -> None:
    """Prints an answer as JSON or as text."""
    if as_json:
        print(json.dumps(value, sort_keys=True))
        return
    print(render_text(value))


@cappa.command(name="entry", help="Run one entry until SIGTERM.")
@dataclass
class EntryCommand:
    """Runs one entry until SIGTERM."""

    settings: Annotated[str, Arg(long=True, help="Path of the settings file.")]

    def __call__(self) -> None:
        """Runs the command."""
        actions.run_entry(self.settings)


@cappa.command(name="check", help="Check a settings file.")
@dataclass
class SettingsCheck:
    """Checks a settings file."""

    path: Annotated[str, Arg(help="Path of the settings file.")]

    def __call__(self) -> None:
        """Runs the command."""
        settings = actions.check_settings(self.path)
        print(f"{self.path}: settings of {settings['name']} are valid")


@cappa.command(name="settings", help="Work with settings files.")
@dataclass
class SettingsCommand:
    """Groups the commands for settings files."""

    command: Subcommands[SettingsCheck]


@cappa.command(name="propose", help="Propose a template.")
@dataclass
class TemplatePropose:
    """Proposes a template."""

    path: Annotated[str, Arg(help="Path of the template file.")]
    base_version: Annotated[int, Arg(long=True, help="Accepted version it changes.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        change = actions.propose(self.entry, self.token, self.path, self.base_version)
        show(change, self.as_json)


@cappa.command(name="review", help="Review a change by its content hash.")
@dataclass
class TemplateReview:
    """Approves or rejects a change."""

    change: Annotated[str, Arg(help="Id of the change.")]
    content_hash: Annotated[str, Arg(long="--hash", help="Content hash reviewed.")]
    entry: EntryUrl
    token: Token
    reject: Annotated[bool, Arg(long=True, help="Reject the change.")] = False
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        change = actions.review(
            self.entry, self.token, self.change, self.content_hash, not self.reject
        )
        show(change, self.as_json)


@cappa.command(name="accept", help="Accept a reviewed change.")
@dataclass
class TemplateAccept:
    """Accepts a change."""

    change: Annotated[str, Arg(help="Id of the change.")]
    content_hash: Annotated[str, Arg(long="--hash", help="Content hash accepted.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        change = actions.accept(self.entry, self.token, self.change, self.content_hash)
        show(change, self.as_json)


@cappa.command(name="history", help="Show all changes of a template.")
@dataclass
class TemplateHistory:
    """Shows the changes of a template."""

    template: Annotated[str, Arg(help="Name of the template.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.history(self.entry, self.token, self.template), self.as_json)


@cappa.command(name="show", help="Show the accepted version of a template.")
@dataclass
class TemplateShow:
    """Shows the accepted version of a template."""

    template: Annotated[str, Arg(help="Name of the template.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.show(self.entry, self.token, self.template), self.as_json)


@cappa.command(name="template", help="Propose, review and accept templates.")
@dataclass
class TemplateCommand:
    """Groups the commands for templates."""

    command: Subcommands[
        TemplatePropose
        | TemplateReview
        | TemplateAccept
        | TemplateHistory
        | TemplateShow
    ]


@cappa.command(name="status", help="Show intended against actual state.")
@dataclass
class StatusCommand:
    """Shows the intended and the actual state."""

    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.status(self.entry, self.token), self.as_json)


@cappa.command(name="list", help="List the VMs.")
@dataclass
class VmList:
    """Lists the VMs."""

    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.vms(self.entry, self.token), self.as_json)


@cappa.command(name="vm", help="Look at VMs.")
@dataclass
class VmCommand:
    """Groups the commands for VMs."""

    command: Subcommands[VmList]


@cappa.command(name="list", help="List deferred jobs.")
@dataclass
class JobList:
    """Lists deferred jobs."""

    entry: EntryUrl
    token: Token
    state: Annotated[str, Arg(long=True, help="Only jobs in this state.")] = ""
    limit: Annotated[int, Arg(long=True, help="Most jobs to list.")] = 100
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        found = actions.jobs(self.entry, self.token, self.state, self.limit)
        show(found, self.as_json)


@cappa.command(name="cancel", help="Cancel a deferred job.")
@dataclass
class JobCancel:
    """Cancels a deferred job."""

    job: Annotated[str, Arg(help="Id of the job.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.cancel_job(self.entry, self.token, self.job), self.as_json)


@cappa.command(name="release", help="Let a parked job wait for a VM again.")
@dataclass
class JobRelease:
    """Lets a parked job wait for a VM again."""

    job: Annotated[str, Arg(help="Id of the job.")]
    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.release_job(self.entry, self.token, self.job), self.as_json)


@cappa.command(name="job", help="List, cancel and release deferred jobs.")
@dataclass
class JobCommand:
    """Groups the commands for deferred jobs."""

    command: Subcommands[JobList | JobCancel | JobRelease]


@cappa.command(name="bench", help="Measure on loopback; a line for each figure.")
@dataclass
class BenchCommand:
    """Runs the measurements and prints one line for each figure."""

    parts: Annotated[list[str], Arg(help="Parts to run; all if left out.")] = field(
        default_factory=list
    )
    seed: Annotated[int, Arg(long=True, help="Seed of all random draws.")] = 1

    def __call__(self) -> None:
        """Runs the command."""
        print(f"seed={self.seed}", flush=True)
        for measure in actions.bench(self.seed, tuple(self.parts)):
            print(measure.line(), flush=True)


@cappa.command(name="dump", help="Show the state of one process.")
@dataclass
class DumpCommand:
    """Shows the state of one process."""

    entry: EntryUrl
    token: Token
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        show(actions.dump(self.entry, self.token), self.as_json)


@cappa.command(name="explain", help="Tell from logs what became of a job.")
@dataclass
class ExplainCommand:
    """Prints the course of a job as found in logs."""

    job: Annotated[str, Arg(help="Id of the job.")]
    logs: Annotated[list[str], Arg(long=True, num_args=-1, help="Logs of all entries.")]
    as_json: Json = False

    def __call__(self) -> None:
        """Runs the command."""
        found = actions.explain_job(self.job, self.logs)
        if self.as_json:
            show(found._asdict(), as_json=True)
        else:
            print(render(found))


@cappa.command(name="emulate", help="Run entries on an emulated platform under load.")
@dataclass
class EmulateCommand:
    """Runs entries on an emulated platform."""

    jobs: Annotated[int, Arg(long=True, help="Jobs to submit.")] = 100
    rate: Annotated[float, Arg(long=True, help="Jobs a second.")] = 8.0
    seed: Annotated[int, Arg(long=True, help="Seed of load and faults.")] = 1
    faults: Annotated[bool, Arg(long=True, help="Inject faults.")] = False

    def __call__(self) -> None:
        """Runs the command."""
        lines = actions.run_emulation(
            self.jobs, self.rate, self.seed, faults=self.faults
        )
        for line in lines:
            print(line, flush=True)


@cappa.command(name="platform", help="Run the stand-in platform.")
@dataclass
class StandinPlatform:
    """Runs the stand-in platform."""

    port: Annotated[int, Arg(long=True, help="Port; 0 lets the kernel choose.")] = 0

    def __call__(self) -> None:
        """Runs the command."""
        actions.run_platform(self.port)


@cappa.command(name="endpoint", help="Run the stand-in VMs of one site.")
@dataclass
class StandinEndpoints:
    """Runs the stand-in VMs of one site."""

    platform: Annotated[str, Arg(long=True, help="Address of the platform.")]
    site: Annotated[str, Arg(long=True, help="Name of the site.")]
    zones: Annotated[str, Arg(long=True, help="Availability zones, with commas.")]
    vms: Annotated[int, Arg(long=True, help="How many VMs.")] = 1

    def __call__(self) -> None:
        """Runs the command."""
        zones = tuple(self.zones.split(","))
        actions.run_site(self.platform, self.site, zones, self.vms)


@cappa.command(name="standin", help="Run fakes of the outside, for trials.")
@dataclass
class StandinCommand:
    """Runs stand-ins of the platform and of VMs."""

    command: Subcommands[StandinPlatform | StandinEndpoints]


@cappa.command(name="burdockthread", help="Fleet capacity and maintenance manager.")
@dataclass
class Burdockthread:
    """The root command."""

    command: Subcommands[
        EntryCommand
        | SettingsCommand
        | TemplateCommand
        | StatusCommand
        | DumpCommand
        | VmCommand
        | JobCommand
        | BenchCommand
        | ExplainCommand
        | EmulateCommand
        | StandinCommand
    ]
