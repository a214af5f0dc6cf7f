package org.cuminshelf.tools;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A subcommand of the command line. */
public interface Command {

    /**
     * Returns the name by which the command is called.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a one-line description for the help text.
     *
     * @return the description
     */
    String summary();

    /**
     * Adds the arguments of the command to its parser.
     *
     * @param parser the parser of the command
     */
    void describe(Subparser parser);

    /**
     * Runs the command.
     *
     * @param flags the parsed arguments
     * @return the exit code of the process
     * @throws Exception if the command can't be completed
     */
    int run(Namespace flags) throws Exception;
}
