package org.ibissaddle.cli;

import io.netty.channel.EventLoopGroup;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.StandinStartException;

/** Runs one stand-in until the process is terminated. */
final class StandinCommand implements Command {
    private static final int EVENT_LOOP_THREADS = 2;

    private final String kind;
    private final String summary;
    private final Options options;
    private final Factory factory;

    StandinCommand(String kind, String summary, Options options, Factory factory) {
        this.kind = kind;
        this.summary = summary;
        this.options = options;
        this.factory = factory;
    }

    /** Creates a stand-in from parsed options. */
    @FunctionalInterface
    interface Factory {
        HttpStandin create(CommandLine line, EventLoopGroup eventLoops) throws UsageException;
    }

    static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    static long number(CommandLine line, String option, long defaultValue) throws UsageException {
        String text = line.getOptionValue(option, Long.toString(defaultValue));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new UsageException("option --" + option + " is not a whole number: \"" + text + "\"");
        }
    }

    @Override
    public String name() {
        return "standin " + kind;
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("name", "NAME", "name of the stand-in"))
                .addOption(option("port", "PORT", "port on 127.0.0.1, 0 for any"))
                .addOptions(options);
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        EventLoopGroup eventLoops = HttpStandin.newEventLoops(EVENT_LOOP_THREADS);
        try (HttpStandin standin = factory.create(line, eventLoops)) {
            standin.start();
            out.println("event=listening name=" + standin.name() + " address=127.0.0.1:"
                    + standin.address().getPort());
            new CountDownLatch(1).await();
            return 0;
        } catch (StandinStartException e) {
            throw new CommandFailedException(e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }
}
