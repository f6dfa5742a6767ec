package org.ibissaddle.cli;

import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the binary. */
public interface Command {
    /**
     * Returns the words that select the command.
     *
     * @return one or two words separated by a space, for example {@code note check}
     */
    String name();

    /**
     * Returns the arguments behind the options, for the usage line.
     *
     * @return for example {@code FILE}, empty when there are none
     */
    String arguments();

    /**
     * Returns what the command does.
     *
     * @return one sentence
     */
    String summary();

    /**
     * Returns the options.
     *
     * @return options besides {@code --help}
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line parsed options and arguments
     * @param out where results go
     * @return exit code, 0 when it succeeded
     * @throws UsageException when options or arguments are wrong
     * @throws CommandFailedException when the command fails
     */
    int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException;
}
