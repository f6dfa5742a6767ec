package org.ibissaddle.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command-line interface. */
public interface Command {
    /**
     * Returns the words that select the command.
     *
     * @return one or two words separated by a space, for example {@code note check}
     */
    String name();

    /**
     * Returns the positional arguments for the usage line.
     *
     * @return placeholders, for example {@code FILE}; empty when the command takes none
     */
    String arguments();

    /**
     * Returns a short description for help texts.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Returns the options that the command accepts.
     *
     * @return options besides {@code --help}
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param out stream for the results
     * @return exit code, 0 on success
     * @throws UsageException when options or arguments are invalid
     * @throws CommandFailedException when the command fails
     */
    int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException;
}
