"""Entry point of the ``vanillapitch`` command."""

import pathlib
from typing import Annotated, Any

import typer
from typer.core import TyperGroup

from vanillapitch_cli import _explain_command, _report_command, _status_commands
from vanillapitch_cli._session import ADMIN_VARIABLE, Session
from vanillapitch_cli._tables_commands import create_table_commands
from vanillapitch_cli._zone_commands import zone_commands
from vanillapitch_cli.exceptions import CliError

__all__ = ["app", "main"]

_SHARED_OPTIONS = ("--admin", "--token-file", "--author", "--settle-timeout-ms")


class _RootGroup(TyperGroup):
    """Accepts the shared options in any position and maps errors to exit codes."""

    def parse_args(self, ctx: typer.Context, args: list[str]) -> list[str]:
        return super().parse_args(ctx, _move_shared_options_first(args))

    def invoke(self, ctx: typer.Context) -> Any:
        try:
            return super().invoke(ctx)
        except CliError as error:
            typer.echo(f"vanillapitch: {error}", err=True)
            for note in getattr(error, "__notes__", ()):
                typer.echo(note, err=True)
            raise typer.Exit(error.exit_code) from error


app = typer.Typer(
    cls=_RootGroup,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Operate vanillapitch: routes, pools and availability zones. "
    "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 unknown outcome, "
    "5 unavailable.",
)
app.add_typer(create_table_commands("routes"), name="routes")
app.add_typer(create_table_commands("pools"), name="pools")
app.add_typer(zone_commands, name="zone")
app.command()(_status_commands.status)
app.command()(_status_commands.check)
app.command()(_report_command.report)
app.command()(_explain_command.explain)


@app.callback()
def _read_shared_options(
    context: typer.Context,
    admin: Annotated[
        list[str] | None,
        typer.Option(
            metavar="IP:PORT",
            help=f"Administration address; may be repeated. Default: {ADMIN_VARIABLE}.",
        ),
    ] = None,
    token_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar="VANILLAPITCH_TOKEN_FILE",
            help="File with the token. Default: VANILLAPITCH_TOKEN.",
        ),
    ] = None,
    author: Annotated[
        str | None,
        typer.Option(
            envvar="VANILLAPITCH_AUTHOR", help="Name for the history of changes."
        ),
    ] = None,
    settle_timeout_ms: Annotated[
        int,
        typer.Option(
            min=0,
            max=600_000,
            help="Time limit for finding the outcome after a lost response.",
        ),
    ] = 10_000,
) -> None:
    context.obj = Session(
        addresses=tuple(admin or ()),
        token_file=token_file,
        author=author,
        settle_timeout_ms=settle_timeout_ms,
    )


def _move_shared_options_first(arguments: list[str]) -> list[str]:
    shared, rest = [], []
    remaining = iter(arguments)
    for argument in remaining:
        if argument == "--":
            rest += [argument, *remaining]
        elif argument in _SHARED_OPTIONS:
            shared += [argument, *([value] if (value := next(remaining, None)) else [])]
        elif argument.partition("=")[0] in _SHARED_OPTIONS:
            shared.append(argument)
        else:
            rest.append(argument)
    return shared + rest


def main() -> None:
    """Run the command line."""
    app()
