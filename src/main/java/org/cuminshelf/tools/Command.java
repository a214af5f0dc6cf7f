package org.cuminshelf.tools;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One command of the command line. */
interface Command {

    /** The word that names it. */
    String name();

    /** One line that says what it does. */
    String summary();

    /** Adds its flags. */
    void describe(Subparser parser);

    /** Runs it and returns the exit code. */
    int run(Namespace flags) throws Exception;
}
