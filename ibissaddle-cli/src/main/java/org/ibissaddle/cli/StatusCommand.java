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
import org.ibissaddle.id.InvalidNameException;

/** Prints what the instances of a deployment say of themselves and of one another. */
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
        return "Prints regions, instances, servers, notes, queues and refusals; asks the peers of each address too.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("json").desc("as JSON").get())
                .addOption(StandinCommand.option("timeout-ms", "MS", "how long an instance may take to answer"));
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        List<Address> addresses = addresses(line.getArgList());
        long timeoutMs = StandinCommand.number(line, "timeout-ms", DEFAULT_TIMEOUT_MS);
        try (StatusCollector collector = new StatusCollector(timeoutMs)) {
            List<InstanceStatus> all = collector.collect(addresses);
            if (line.hasOption("json")) {
                out.println(json(all).toPrettyString());
            } else {
                out.print(new StatusText(all, Terminal.isPresent()).render());
            }
            return all.stream().allMatch(one -> one.answer().isPresent()) ? 0 : 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailedException("interrupted", e);
        }
    }

    static List<Address> addresses(List<String> texts) throws UsageException {
        if (texts.isEmpty()) {
            throw new UsageException("give at least one address");
        }
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            try {
                addresses.add(Address.parse(text));
            } catch (InvalidNameException e) {
                throw new UsageException("\"" + text + "\" is not IP number:port");
            }
        }
        return addresses;
    }

    private static ArrayNode json(List<InstanceStatus> all) {
        ArrayNode root = JSON.createArrayNode();
        for (InstanceStatus one : all) {
            var entry = root.addObject().put("control_address", one.control().toString());
            one.answer().ifPresent(answer -> entry.set("status", answer));
            if (one.answer().isEmpty()) {
                entry.put("failure", one.failure());
            }
        }
        return root;
    }
}
