package org.ibissaddle.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.load.OverheadBenchmark;
import org.ibissaddle.id.Address;

/** Measures the latency that an instance adds to direct calls of an engine. */
final class OverheadCommand implements Command {
    private static final long DEFAULT_TOKENS = 16;
    private static final long DEFAULT_ROUNDS = 3;
    private static final long DEFAULT_ROUND_MS = 5_000;
    private static final int ADDRESSES = 2;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String arguments() {
        return "ENGINE-ADDRESS CALLER-ADDRESS";
    }

    @Override
    public String summary() {
        return "Measures the latency that an instance adds to direct calls of an engine, in alternating rounds.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(StandinCommand.option("workspace", "NAME", "workspace of the calls"))
                .addOption(StandinCommand.option("model", "NAME", "model of the calls"))
                .addOption(StandinCommand.option(
                        "streams", "N,...", "mean numbers of concurrent streams, separated by commas"))
                .addOption(StandinCommand.option("tokens", "N", "maximum number of tokens of each response"))
                .addOption(StandinCommand.option("rounds", "N", "number of rounds per target"))
                .addOption(StandinCommand.option("round-ms", "MS", "duration of a round"))
                .addOption(StandinCommand.option("seed", "N", "random seed of arrivals and prompts"));
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        if (line.getArgList().size() != ADDRESSES) {
            throw new UsageException("expected ENGINE-ADDRESS and CALLER-ADDRESS");
        }
        List<Address> addresses = StatusCommand.parseAddresses(line.getArgList());
        OverheadBenchmark.Plan plan = new OverheadBenchmark.Plan(
                addresses.get(0),
                addresses.get(1),
                line.getOptionValue("workspace", "members"),
                line.getOptionValue("model", "inspector"),
                (int) StandinCommand.number(line, "tokens", DEFAULT_TOKENS),
                (int) StandinCommand.number(line, "rounds", DEFAULT_ROUNDS),
                StandinCommand.number(line, "round-ms", DEFAULT_ROUND_MS),
                StandinCommand.number(line, "seed", 1));
        try {
            return OverheadBenchmark.run(plan, parseStreams(line), out) == 0 ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted", e);
        }
    }

    private static int[] parseStreams(CommandLine line) throws UsageException {
        String text = line.getOptionValue("streams", "1,64,512");
        try {
            return Arrays.stream(text.split(",", -1))
                    .mapToInt(Integer::parseInt)
                    .toArray();
        } catch (NumberFormatException e) {
            throw new UsageException("option --streams is not a list of whole numbers: \"" + text + "\"");
        }
    }
}
