package org.cuminshelf.tools;

/** The exit codes of all commands; docs/OPERATIONS.md lists them. */
final class ExitCode {

    static final int SUCCESS = 0;
    /** The command ran and its outcome is a no: problems found, a conflict, an invariant broken. */
    static final int FAILURE = 1;
    /** The command line or a setting is wrong. */
    static final int USAGE = 2;
    /** No process that could answer was reached. */
    static final int UNAVAILABLE = 69;
    /** An address, a file or a folder can't be used. */
    static final int IO_ERROR = 74;

    private ExitCode() {}
}
