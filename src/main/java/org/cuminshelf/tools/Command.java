package org.cuminshelf.tools;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One command of the command line. */
public interface Command {

    /**
     * The word that names it.
     *
     * @return the word
     */
    String name();

    /**
     * One line that says what it does.
     *
     * @return the line
     */
    String summary();

    /**
     * Adds its flags.
     *
     * @param parser takes them
     */
    void describe(Subparser parser);

    /**
     * Runs it.
     *
     * @param flags the flags given
     * @return the exit code
     * @throws Exception if it can't be carried out
     */
    int run(Namespace flags) throws Exception;
}
