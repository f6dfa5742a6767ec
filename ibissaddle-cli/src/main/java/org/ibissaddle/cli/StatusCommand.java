package org.ibissaddle.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.cli.status.InstanceStatus;
import org.ibissaddle.cli.status.StatusCollector;
import org.ibissaddle.cli.status.StatusText;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;

/** Prints the status of the instances of a deployment, including their view of each other. */
final class StatusCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DEFAULT_TIMEOUT_MS = 2_000;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "CONTROL-ADDRESS...";
    }

    @Override
    public String summary() {
        return "Prints regions, instances, servers, notes, queues and refusals; also queries the peers of each address.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("json").desc("print JSON").get())
                .addOption(StandinCommand.option("timeout-ms", "MS", "timeout per instance"));
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        List<Address> addresses = parseAddresses(line.getArgList());
        long timeoutMs = StandinCommand.number(line, "timeout-ms", DEFAULT_TIMEOUT_MS);
        try (StatusCollector collector = new StatusCollector(timeoutMs)) {
            List<InstanceStatus> statuses = collector.collect(addresses);
            if (line.hasOption("json")) {
                out.println(json(statuses).toPrettyString());
            } else {
                out.print(new StatusText(statuses, Terminal.isPresent()).render());
            }
            return statuses.stream().allMatch(status -> status.response().isPresent()) ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted", e);
        }
    }

    static List<Address> parseAddresses(List<String> texts) throws UsageException {
        if (texts.isEmpty()) {
            throw new UsageException("expected at least one address");
        }
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            try {
                addresses.add(Address.parse(text));
            } catch (InvalidIdentifierException e) {
                throw new UsageException("\"" + text + "\" is not an IP address and port (IP:PORT)");
            }
        }
        return addresses;
    }

    private static ArrayNode json(List<InstanceStatus> statuses) {
        ArrayNode root = JSON.createArrayNode();
        for (InstanceStatus status : statuses) {
            var entry = root.addObject().put("control_address", status.control().toString());
            status.response().ifPresent(response -> entry.set("status", response));
            if (status.response().isEmpty()) {
                entry.put("failure", status.failure());
            }
        }
        return root;
    }
}
