package org.ibissaddle.daemon.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.logging.Level;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.ticket.DeploymentKey;

/** Reads settings from an INI file and reports all errors together. */
public final class SettingsReader {
    private static final Map<String, Set<String>> ALLOWED_KEYS = Map.of(
            "instance", Set.of("name", "region", "zone", "caller-address", "control-address"),
            "platform", Set.of("addresses"),
            "peers", Set.of("seeds"),
            "security", Set.of("deployment-key"),
            "limits", Set.of("max-body-bytes", "max-header-bytes", "default-deadline-ms"),
            "log", Set.of("level"));
    private static final Map<String, Level> LEVELS =
            Map.of("debug", Level.FINE, "info", Level.INFO, "warning", Level.WARNING, "error", Level.SEVERE);
    private static final DeploymentKey EXAMPLE_KEY =
            DeploymentKey.of("replace-this-with-a-secret".getBytes(StandardCharsets.UTF_8));
    private static final int MIN_BODY_BYTES = 1024;
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MIN_HEADER_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 256 * 1024;
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int MIN_DEADLINE_MS = 100;
    private static final int MAX_DEADLINE_MS = 3_600_000;
    private static final int DEFAULT_DEADLINE_MS = 120_000;

    private final String file;
    private final INIConfiguration ini;
    private final List<SettingsError> errors = new ArrayList<>();

    private SettingsReader(String file, INIConfiguration ini) {
        this.file = file;
        this.ini = ini;
    }

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static Settings read(Path path) throws SettingsException {
        try {
            return read(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw fileError(path.toString(), "cannot be read: " + e.getMessage());
        }
    }

    /**
     * Reads settings from text.
     *
     * @param file file name for error messages
     * @param text the settings in INI format
     * @return the settings
     * @throws SettingsException if the text is invalid
     */
    public static Settings read(String file, String text) throws SettingsException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw fileError(file, "is not well-formed: " + e.getMessage());
        }
        return new SettingsReader(file, ini).readSettings();
    }

    private static SettingsException fileError(String file, String problem) {
        return new SettingsException(List.of(new SettingsError(file, "", "", problem, "an INI file in UTF-8")));
    }

    private Settings readSettings() throws SettingsException {
        checkSections();
        Optional<InstanceId> instance = readRequired("instance", "name", InstanceId::new, "a name");
        Optional<Region> region = readRequired("instance", "region", Region::new, "a name");
        Optional<Zone> zone = readRequired("instance", "zone", Zone::new, "a name");
        Optional<Address> caller = readRequired("instance", "caller-address", Address::parse, "IP address:port");
        Optional<Address> control = readRequired("instance", "control-address", Address::parse, "IP address:port");
        List<Address> platform = readAddresses("platform", "addresses");
        List<Address> seeds = readAddresses("peers", "seeds");
        checkPlatformAddresses(platform);
        checkListenAddresses(caller, control, seeds);
        Optional<DeploymentKey> key =
                readRequired("security", "deployment-key", this::parseDeploymentKey, "at least 16 bytes");
        int body = readLimit("max-body-bytes", MIN_BODY_BYTES, MAX_BODY_BYTES, DEFAULT_BODY_BYTES);
        int header = readLimit("max-header-bytes", MIN_HEADER_BYTES, MAX_HEADER_BYTES, DEFAULT_HEADER_BYTES);
        int deadline = readLimit("default-deadline-ms", MIN_DEADLINE_MS, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
        Level level = readLevel();
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
        return new Settings(
                instance.orElseThrow(),
                region.orElseThrow(),
                zone.orElseThrow(),
                caller.orElseThrow(),
                control.orElseThrow(),
                platform,
                seeds,
                key.orElseThrow(),
                new Settings.Limits(body, header, deadline),
                level);
    }

    /**
     * Returns warnings about settings that are valid but insecure.
     *
     * @param file file name for error messages
     * @param settings the settings
     * @return the warnings
     */
    public static List<SettingsError> warnings(String file, Settings settings) {
        if (!settings.deploymentKey().equals(EXAMPLE_KEY)) {
            return List.of();
        }
        return List.of(new SettingsError(
                file,
                "security",
                "deployment-key",
                "is the publicly known key from the examples",
                "a private secret of at least " + DeploymentKey.MIN_SECRET_BYTES + " bytes"));
    }

    private void checkPlatformAddresses(List<Address> platform) {
        if (platform.isEmpty() && readText("platform", "addresses").isEmpty()) {
            addError("platform", "addresses", "is missing", "IP address:port, separated by commas");
        }
    }

    private void checkListenAddresses(Optional<Address> caller, Optional<Address> control, List<Address> seeds) {
        if (caller.isPresent() && caller.equals(control) && caller.get().port() != 0) {
            addError("instance", "control-address", control.get() + " is the same as caller-address", "another port");
        }
        if (control.isPresent() && seeds.contains(control.get())) {
            addError(
                    "peers",
                    "seeds",
                    "contains this instance's own control address " + control.get(),
                    "control addresses of other instances");
        }
    }

    private void checkSections() {
        for (String section : ini.getSections()) {
            if (section == null) {
                addError("", "", "key before the first section", "one of " + new TreeSet<>(ALLOWED_KEYS.keySet()));
                continue;
            }
            if (!ALLOWED_KEYS.containsKey(section)) {
                addError(section, "", "unknown section", "one of " + new TreeSet<>(ALLOWED_KEYS.keySet()));
                continue;
            }
            checkKeys(section);
        }
    }

    private void checkKeys(String section) {
        SubnodeConfiguration keys = ini.getSection(section);
        keys.getKeys().forEachRemaining(name -> {
            String key = name.replace("..", ".");
            if (!ALLOWED_KEYS.get(section).contains(key)) {
                addError(section, key, "unknown key", "one of " + new TreeSet<>(ALLOWED_KEYS.get(section)));
            } else if (keys.getList(name).size() > 1) {
                addError(section, key, "is given more than once", "once");
            }
        });
    }

    private <T> Optional<T> readRequired(String section, String key, Function<String, T> parse, String allowed) {
        Optional<String> text = readText(section, key);
        if (text.isEmpty()) {
            addError(section, key, "is missing", allowed);
            return Optional.empty();
        }
        return parseValue(section, key, text.get(), parse, allowed);
    }

    private <T> Optional<T> parseValue(
            String section, String key, String text, Function<String, T> parse, String allowed) {
        try {
            return Optional.of(parse.apply(text));
        } catch (InvalidIdentifierException e) {
            addError(section, key, "\"" + text + "\" is not valid", allowed);
        } catch (IllegalArgumentException e) {
            addError(section, key, e.getMessage(), allowed);
        }
        return Optional.empty();
    }

    private DeploymentKey parseDeploymentKey(String text) {
        return DeploymentKey.of(text.getBytes(StandardCharsets.UTF_8));
    }

    private List<Address> readAddresses(String section, String key) {
        List<Address> addresses = new ArrayList<>();
        for (String part : readText(section, key).orElse("").split(",", -1)) {
            if (!part.isBlank()) {
                parseValue(section, key, part.trim(), Address::parse, "IP address:port, separated by commas")
                        .ifPresent(addresses::add);
            }
        }
        return addresses;
    }

    private int readLimit(String key, int min, int max, int defaultValue) {
        Optional<String> text = readText("limits", key);
        if (text.isEmpty()) {
            return defaultValue;
        }
        String allowed = "a whole number from " + min + " to " + max + ", without unit";
        try {
            int value = Integer.parseInt(text.get());
            if (value >= min && value <= max) {
                return value;
            }
            addError("limits", key, value + " is out of range", allowed);
        } catch (NumberFormatException e) {
            addError("limits", key, "\"" + text.get() + "\" is not a whole number", allowed);
        }
        return defaultValue;
    }

    private Level readLevel() {
        String text = readText("log", "level").orElse("info");
        Level level = LEVELS.get(text);
        if (level == null) {
            addError("log", "level", "\"" + text + "\" is not a log level", "one of " + new TreeMap<>(LEVELS).keySet());
            return Level.INFO;
        }
        return level;
    }

    private Optional<String> readText(String section, String key) {
        return Optional.ofNullable(ini.getSection(section).getString(key))
                .map(String::trim)
                .filter(text -> !text.isEmpty());
    }

    private void addError(String section, String key, String problem, String allowed) {
        errors.add(new SettingsError(file, section, key, problem, allowed));
    }
}
