package org.cuminshelf.tools;

/** The exit codes of all commands, which docs/OPERATIONS.md lists. */
final class ExitCode {

    static final int SUCCESS = 0;
    /** The command ran with a negative outcome, such as an invalid folder, a conflict or a violated invariant. */
    static final int FAILURE = 1;
    /** An argument or an environment variable is invalid. */
    static final int USAGE = 2;
    /** No process was available to answer the request. */
    static final int UNAVAILABLE = 69;
    /** An address, a file or a folder can't be used. */
    static final int IO_ERROR = 74;

    private ExitCode() {}
}
