package org.ibissaddle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.load.LoadPlan;
import org.ibissaddle.cli.load.LoadRunner;
import org.ibissaddle.cli.load.WorkloadMix;

/** Runs an open-loop load test against a deployment. */
final class LoadCommand implements Command {
    private static final long DEFAULT_PER_SECOND = 20;
    private static final long DEFAULT_SECONDS = 30;
    private static final long MAX_PER_SECOND = 100_000;
    private static final long MAX_SECONDS = 86_400;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String arguments() {
        return "CONTROL-ADDRESS...";
    }

    @Override
    public String summary() {
        return "Sends open-loop load, corrected for coordinated omission, and reports percentiles and refusals.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(StandinCommand.option("mix", "NAME", "cooperative or stratka"))
                .addOption(StandinCommand.option("rate", "N", "mean number of requests started per second"))
                .addOption(
                        StandinCommand.option("seconds", "N", "duration in seconds during which requests are started"))
                .addOption(StandinCommand.option("seed", "N", "random seed of arrivals and prompts"))
                .addOption(StandinCommand.option("report", "FILE", "writes an HTML report"));
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        LoadPlan plan = parsePlan(line);
        try {
            LoadRunner.Result result = LoadRunner.run(plan, out);
            out.print(result.text());
            if (line.hasOption("report")) {
                Files.writeString(Path.of(line.getOptionValue("report")), result.html(), StandardCharsets.UTF_8);
                out.println("report written to " + line.getOptionValue("report"));
            }
            return 0;
        } catch (IOException e) {
            throw new CommandFailedException("cannot write the report: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted", e);
        }
    }

    private static LoadPlan parsePlan(CommandLine line) throws UsageException {
        String name = line.getOptionValue("mix", "cooperative");
        WorkloadMix mix = WorkloadMix.byName(name)
                .orElseThrow(() -> new UsageException("unknown mix \"" + name + "\"; expected cooperative or stratka"));
        return new LoadPlan(
                mix,
                StatusCommand.parseAddresses(line.getArgList()),
                (double) parseBounded(line, "rate", DEFAULT_PER_SECOND, MAX_PER_SECOND),
                (int) parseBounded(line, "seconds", DEFAULT_SECONDS, MAX_SECONDS),
                StandinCommand.number(line, "seed", 1));
    }

    private static long parseBounded(CommandLine line, String option, long defaultValue, long max)
            throws UsageException {
        long value = StandinCommand.number(line, option, defaultValue);
        if (value < 1 || value > max) {
            throw new UsageException("option --" + option + " is " + value + "; expected 1 to " + max);
        }
        return value;
    }
}
