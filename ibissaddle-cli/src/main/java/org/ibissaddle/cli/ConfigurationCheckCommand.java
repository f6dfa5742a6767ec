package org.ibissaddle.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.ibissaddle.id.Region;
import org.ibissaddle.platform.ConfigurationFile;
import org.ibissaddle.route.ConfigurationChange;
import org.ibissaddle.route.ConfigurationCheck;
import org.ibissaddle.route.ConfigurationCheck.Surroundings;
import org.ibissaddle.route.ConfigurationDiff;
import org.ibissaddle.route.ConfigurationFinding;
import org.ibissaddle.route.ConfigurationFinding.Severity;
import org.ibissaddle.route.DeclaredConfiguration;

/** Checks the operator's configuration before it is published to the platform. */
final class ConfigurationCheckCommand implements Command {
    private static final String AGAINST = "against";
    private static final String REGIONS = "regions";
    private static final String SERVERS = "servers";
    private static final String JSON = "json";
    private static final int WITHOUT_ERRORS = 0;
    private static final int WITH_ERRORS = 1;

    @Override
    public String name() {
        return "config-check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a configuration of routes, services and workspaces and names every fault with its place.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(valueOption(AGAINST, "FILE", "configuration in force, which FILE is to replace"))
                .addOption(valueOption(REGIONS, "LIST", "all regions of the deployment, separated by commas"))
                .addOption(valueOption(SERVERS, "LIST", "numbers of servers, SERVICE=COUNT separated by commas"))
                .addOption(Option.builder()
                        .longOpt(JSON)
                        .desc("print one JSON object")
                        .get());
    }

    private static Option valueOption(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    @Override
    public int run(CommandLine line, PrintStream out) throws UsageException, CommandFailedException {
        String file = NoteFiles.onlyFile(line);
        Set<Region> regions = parseRegions(line.getOptionValue(REGIONS, ""));
        Map<String, Integer> servers = parseServers(line.getOptionValue(SERVERS, ""));
        ConfigurationFile checked = read(file);
        Optional<ConfigurationFile> inForce =
                line.hasOption(AGAINST) ? Optional.of(read(line.getOptionValue(AGAINST))) : Optional.empty();
        List<ConfigurationFinding> findings = new ArrayList<>(checked.faults());
        inForce.ifPresent(other -> other.faults()
                .forEach(fault -> findings.add(new ConfigurationFinding(
                        fault.severity(), "configuration in force: " + fault.place(), fault.message()))));
        Optional<DeclaredConfiguration> before = inForce.flatMap(ConfigurationFile::configuration);
        OptionalLong versionInForce =
                before.map(other -> OptionalLong.of(other.version())).orElse(OptionalLong.empty());
        Surroundings surroundings = new Surroundings(regions, servers, versionInForce);
        checked.configuration()
                .ifPresent(configuration -> findings.addAll(ConfigurationCheck.check(configuration, surroundings)));
        Optional<List<ConfigurationChange>> changes = before.flatMap(
                old -> checked.configuration().map(configuration -> ConfigurationDiff.between(old, configuration)));
        if (line.hasOption(JSON)) {
            out.println(toJson(file, findings, changes));
        } else {
            printText(file, findings, changes, out);
        }
        return count(findings, Severity.ERROR) == 0 ? WITHOUT_ERRORS : WITH_ERRORS;
    }

    private static void printText(
            String file,
            List<ConfigurationFinding> findings,
            Optional<List<ConfigurationChange>> changes,
            PrintStream out) {
        findings.forEach(finding -> out.println(finding.line()));
        changes.ifPresent(list -> {
            list.forEach(change -> out.println(change.line()));
            if (list.isEmpty()) {
                out.println("no changes");
            }
        });
        out.println(file + ": errors: " + count(findings, Severity.ERROR) + ", warnings: "
                + count(findings, Severity.WARNING));
    }

    private static ObjectNode toJson(
            String file, List<ConfigurationFinding> findings, Optional<List<ConfigurationChange>> changes) {
        ObjectNode root = new JsonMapper().createObjectNode();
        root.put("file", file);
        root.put("errors", count(findings, Severity.ERROR));
        root.put("warnings", count(findings, Severity.WARNING));
        ArrayNode list = root.putArray("findings");
        for (ConfigurationFinding finding : findings) {
            list.addObject()
                    .put("severity", finding.severity().name().toLowerCase(Locale.ROOT))
                    .put("place", finding.place())
                    .put("message", finding.message());
        }
        if (changes.isPresent()) {
            ArrayNode changeList = root.putArray("changes");
            for (ConfigurationChange change : changes.get()) {
                ObjectNode node = changeList
                        .addObject()
                        .put("kind", change.kind().name().toLowerCase(Locale.ROOT))
                        .put("subject", change.subject())
                        .put("effect", change.effect());
                ArrayNode details = node.putArray("details");
                change.details().forEach(details::add);
            }
        }
        return root;
    }

    private static long count(List<ConfigurationFinding> findings, Severity severity) {
        return findings.stream()
                .filter(finding -> finding.severity() == severity)
                .count();
    }

    /** Reads a file. An unreadable one is a usage error, so that scripts can tell it from a faulty configuration. */
    private static ConfigurationFile read(String file) throws UsageException {
        try {
            return ConfigurationFile.read(Files.readAllBytes(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            throw new UsageException(file + " cannot be read: " + e);
        }
    }

    private static Set<Region> parseRegions(String list) throws UsageException {
        Set<Region> regions = new HashSet<>();
        for (String name : items(list)) {
            try {
                regions.add(new Region(name));
            } catch (IllegalArgumentException e) {
                throw new UsageException("--" + REGIONS + ": " + e.getMessage());
            }
        }
        return regions;
    }

    private static Map<String, Integer> parseServers(String list) throws UsageException {
        Map<String, Integer> servers = new HashMap<>();
        for (String item : items(list)) {
            int equals = item.lastIndexOf('=');
            String count = item.substring(equals + 1);
            if (equals <= 0 || !count.matches("[0-9]{1,9}")) {
                throw new UsageException("--" + SERVERS + " must be SERVICE=COUNT,... but has \"" + item + "\"");
            }
            servers.put(item.substring(0, equals), Integer.parseInt(count));
        }
        return servers;
    }

    private static List<String> items(String list) {
        return list.isBlank() ? List.of() : List.of(list.trim().split("\\s*,\\s*", -1));
    }
}
