package org.ibissaddle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.timeline.TimelineCollector;
import org.ibissaddle.cli.timeline.TimelinePage;
import org.ibissaddle.cli.timeline.TimelineText;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineJson;

/** Collects the events of instances and prints them in causal order. */
final class TimelineCommand implements Command {
    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String arguments() {
        return "CONTROL_ADDRESS...";
    }

    @Override
    public String summary() {
        return "Shows the events of instances in causal order, as text, JSON or an HTML page.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("json").desc("print JSON").get())
                .addOption(Option.builder()
                        .longOpt("html")
                        .hasArg()
                        .argName("FILE")
                        .desc("write a self-contained HTML page")
                        .get())
                .addOption(Option.builder()
                        .longOpt("request")
                        .hasArg()
                        .argName("ID")
                        .desc("show only the events of one request; on the HTML page, highlight them")
                        .get());
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        Timeline timeline = new TimelineCollector().collect(parseAddresses(line));
        Optional<RequestId> request = parseRequest(line);
        Timeline shown = request.map(id -> new Timeline(timeline.eventsOf(id), timeline.gaps()))
                .orElse(timeline);
        if (line.hasOption("html")) {
            writePage(line.getOptionValue("html"), TimelinePage.write(timeline, request));
        }
        if (line.hasOption("json")) {
            out.println(TimelineJson.write(shown));
        } else if (!line.hasOption("html")) {
            TimelineText.write(shown, out);
        }
        return 0;
    }

    private static void writePage(String file, String page) throws CommandFailedException {
        try {
            Files.writeString(Path.of(file), page);
        } catch (IOException e) {
            throw new CommandFailedException("file \"" + file + "\" cannot be written: " + e.getMessage(), e);
        }
    }

    private static Optional<RequestId> parseRequest(CommandLine line) throws UsageException {
        try {
            return Optional.ofNullable(line.getOptionValue("request")).map(RequestId::new);
        } catch (InvalidIdentifierException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static List<Address> parseAddresses(CommandLine line) throws UsageException {
        List<Address> addresses = new ArrayList<>();
        for (String argument : line.getArgList()) {
            for (String text : argument.split(",", -1)) {
                try {
                    addresses.add(Address.parse(text));
                } catch (IllegalArgumentException e) {
                    throw new UsageException(e.getMessage());
                }
            }
        }
        if (addresses.isEmpty()) {
            throw new UsageException(
                    "expected the control address of at least one instance, for example 10.0.0.1:8101");
        }
        return addresses;
    }
}
