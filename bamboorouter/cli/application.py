"""Command-line tool `bamboorouter` for operators."""

import sys

from cleo import application as cleo_application

from bamboorouter.cli import account
from bamboorouter.cli import explain
from bamboorouter.cli import job
from bamboorouter.cli import logs
from bamboorouter.cli import member
from bamboorouter.cli import sheet
from bamboorouter.cli import status
from bamboorouter.cli import target

VERSION = "0.1.0"


def make_application() -> cleo_application.Application:
    """Returns the application with all commands."""
    application = cleo_application.Application("bamboorouter", VERSION)
    for command in (
        sheet.SheetSubmitCommand(),
        sheet.SheetCheckCommand(),
        status.StatusCommand(),
        job.JobSubmitCommand(),
        job.JobCancelCommand(),
        target.DrainCommand(),
        target.UndrainCommand(),
        member.MembersCommand(),
        member.MembersAddLearnerCommand(),
        member.MembersPromoteCommand(),
        member.MembersRemoveCommand(),
        explain.ExplainCommand(),
        account.AccountVerifyCommand(),
        logs.LogsCommand(),
    ):
        application.add(command)
    return application


def main() -> int:
    """Runs the command named by the arguments and returns its exit code."""
    application = make_application()
    application.auto_exits(False)
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
