package org.ibissaddle.cli;

import static org.ibissaddle.cli.StandinCommand.number;
import static org.ibissaddle.cli.StandinCommand.option;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.FaultProxy;
import org.ibissaddle.standins.FaultProxyOptions;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.PlatformOptions;
import org.ibissaddle.standins.PlatformStandin;
import org.ibissaddle.standins.ServiceOptions;
import org.ibissaddle.standins.ServiceStandin;

/** Commands that run stand-ins. */
final class StandinCommands {
    private static final long DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000;
    private static final long DEFAULT_STEP_MICROS = 8_000;
    private static final long DEFAULT_STEP_PER_SEQUENCE_MICROS = 500;
    private static final long DEFAULT_MAX_BATCH = 16;

    private StandinCommands() {}

    static List<Command> all() {
        return List.of(
                new StandinCommand(
                        "engine", "Runs a stand-in of a model engine.", engineOptions(), StandinCommands::engine),
                new StandinCommand(
                        "service", "Runs a stand-in of a plain service.", new Options(), StandinCommands::service),
                new StandinCommand(
                        "platform",
                        "Runs a stand-in of the platform.",
                        new Options().addOption(option("instance-lag-ms", "MS", "lag of the list of live instances")),
                        StandinCommands::platform),
                new StandinCommand(
                        "proxy", "Runs a fault-injecting TCP proxy.", new Options(), StandinCommands::proxy));
    }

    private static Options engineOptions() {
        return new Options()
                .addOption(option("model", "MODEL@VERSION", "resident model versions, separated by commas"))
                .addOption(option("prefill", "TOKENS", "prompt tokens per second"))
                .addOption(option("step-us", "MICROSECONDS", "time of a decode step"))
                .addOption(option(
                        "step-per-sequence-us", "MICROSECONDS", "additional decode step time per running sequence"))
                .addOption(option("max-batch", "N", "maximum number of concurrent sequences"))
                .addOption(option("load-lag-ms", "MS", "lag of load reports"))
                .addOption(Option.builder()
                        .longOpt("ignore-tokens")
                        .desc("accept orders with an outdated fencing token")
                        .get());
    }

    private static HttpStandin engine(CommandLine line, EventLoopGroup eventLoops) throws UsageException {
        EngineOptions options = EngineOptions.named(line.getOptionValue("name", "engine"))
                .port((int) number(line, "port", 0))
                .models(line.getOptionValue("model", "model@1").split(",", -1))
                .prefillTokensPerSecond((double) number(line, "prefill", DEFAULT_PREFILL_TOKENS_PER_SECOND))
                .stepMicros(
                        number(line, "step-us", DEFAULT_STEP_MICROS),
                        number(line, "step-per-sequence-us", DEFAULT_STEP_PER_SEQUENCE_MICROS))
                .maxBatch((int) number(line, "max-batch", DEFAULT_MAX_BATCH))
                .loadLagMs(number(line, "load-lag-ms", 0))
                .orders(!line.hasOption("ignore-tokens"), 0)
                .haltOnCrash(true)
                .build();
        return new EngineStandin(options, eventLoops);
    }

    private static HttpStandin service(CommandLine line, EventLoopGroup eventLoops) throws UsageException {
        ServiceOptions options =
                ServiceOptions.named(line.getOptionValue("name", "service")).withPort((int) number(line, "port", 0));
        return new ServiceStandin(options, eventLoops);
    }

    private static HttpStandin platform(CommandLine line, EventLoopGroup eventLoops) throws UsageException {
        PlatformOptions options = PlatformOptions.named(line.getOptionValue("name", "platform"))
                .withPort((int) number(line, "port", 0))
                .withInstanceLagMs(number(line, "instance-lag-ms", 0));
        return new PlatformStandin(options, eventLoops);
    }

    private static HttpStandin proxy(CommandLine line, EventLoopGroup eventLoops) throws UsageException {
        FaultProxyOptions options = FaultProxyOptions.named(line.getOptionValue("name", "proxy"))
                .withControlPort((int) number(line, "port", 0));
        return new FaultProxy(options, eventLoops);
    }
}
