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
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/** Reads settings from INI and reports every fault at once. */
public final class SettingsReader {
    private static final Map<String, Set<String>> KEYS = Map.of(
            "instance", Set.of("name", "region", "zone", "caller-address", "control-address"),
            "platform", Set.of("addresses"),
            "peers", Set.of("seeds"),
            "security", Set.of("deployment-key"),
            "limits", Set.of("max-body-bytes", "max-header-bytes", "default-deadline-ms"),
            "log", Set.of("level"));
    private static final Map<String, Level> LEVELS =
            Map.of("debug", Level.FINE, "info", Level.INFO, "warning", Level.WARNING, "error", Level.SEVERE);
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
    private final List<SettingsFault> faults = new ArrayList<>();

    private SettingsReader(String file, INIConfiguration ini) {
        this.file = file;
        this.ini = ini;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the settings
     * @throws SettingsException naming every fault of the file
     */
    public static Settings read(Path path) throws SettingsException {
        try {
            return read(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw unreadable(path.toString(), "cannot be read: " + e.getMessage());
        }
    }

    /**
     * Reads text.
     *
     * @param file name for messages
     * @param text the text
     * @return the settings
     * @throws SettingsException naming every fault of the text
     */
    public static Settings read(String file, String text) throws SettingsException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw unreadable(file, "is not well-formed: " + e.getMessage());
        }
        return new SettingsReader(file, ini).settings();
    }

    private static SettingsException unreadable(String file, String problem) {
        return new SettingsException(List.of(new SettingsFault(file, "", "", problem, "an INI file in UTF-8")));
    }

    private Settings settings() throws SettingsException {
        checkNames();
        Optional<InstanceId> instance = required("instance", "name", InstanceId::new, "a name");
        Optional<Region> region = required("instance", "region", Region::new, "a name");
        Optional<Zone> zone = required("instance", "zone", Zone::new, "a name");
        Optional<Address> caller = required("instance", "caller-address", Address::parse, "IP number:port");
        Optional<Address> control = required("instance", "control-address", Address::parse, "IP number:port");
        List<Address> platform = addresses("platform", "addresses");
        List<Address> seeds = addresses("peers", "seeds");
        checkPlatform(platform);
        checkAddresses(caller, control, seeds);
        Optional<DeploymentKey> key = required("security", "deployment-key", this::key, "at least 16 bytes");
        int body = number("max-body-bytes", MIN_BODY_BYTES, MAX_BODY_BYTES, DEFAULT_BODY_BYTES);
        int header = number("max-header-bytes", MIN_HEADER_BYTES, MAX_HEADER_BYTES, DEFAULT_HEADER_BYTES);
        int deadline = number("default-deadline-ms", MIN_DEADLINE_MS, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
        Level level = level();
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
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
     * Finds what is allowed but unwise.
     *
     * @param file name for messages
     * @param settings settings that were read
     * @return warnings, empty when there are none
     */
    public static List<SettingsFault> warnings(String file, Settings settings) {
        if (!settings.deploymentKey().isExample()) {
            return List.of();
        }
        return List.of(new SettingsFault(
                file,
                "security",
                "deployment-key",
                "is the key of the examples, which anybody knows",
                "a secret of your own of at least " + DeploymentKey.MIN_BYTES + " bytes"));
    }

    private void checkPlatform(List<Address> platform) {
        if (platform.isEmpty() && text("platform", "addresses").isEmpty()) {
            fault("platform", "addresses", "is missing", "IP number:port, separated by commas");
        }
    }

    private void checkAddresses(Optional<Address> caller, Optional<Address> control, List<Address> seeds) {
        if (caller.isPresent() && caller.equals(control) && caller.get().port() != 0) {
            fault("instance", "control-address", control.get() + " is the caller address too", "another port");
        }
        if (control.isPresent() && seeds.contains(control.get())) {
            fault("peers", "seeds", "holds the own control address " + control.get(), "other instances only");
        }
    }

    private void checkNames() {
        for (String section : ini.getSections()) {
            if (section == null) {
                fault("", "", "keys stand before the first section", "one of " + new TreeSet<>(KEYS.keySet()));
                continue;
            }
            if (!KEYS.containsKey(section)) {
                fault(section, "", "unknown section", "one of " + new TreeSet<>(KEYS.keySet()));
                continue;
            }
            checkKeys(section);
        }
    }

    private void checkKeys(String section) {
        SubnodeConfiguration keys = ini.getSection(section);
        keys.getKeys().forEachRemaining(name -> {
            String key = name.replace("..", ".");
            if (!KEYS.get(section).contains(key)) {
                fault(section, key, "unknown key", "one of " + new TreeSet<>(KEYS.get(section)));
            } else if (keys.getList(name).size() > 1) {
                fault(section, key, "is given more than once", "once");
            }
        });
    }

    private <T> Optional<T> required(String section, String key, Function<String, T> parse, String allowed) {
        Optional<String> text = text(section, key);
        if (text.isEmpty()) {
            fault(section, key, "is missing", allowed);
            return Optional.empty();
        }
        return parsed(section, key, text.get(), parse, allowed);
    }

    private <T> Optional<T> parsed(String section, String key, String text, Function<String, T> parse, String allowed) {
        try {
            return Optional.of(parse.apply(text));
        } catch (InvalidNameException e) {
            fault(section, key, "\"" + text + "\" is not valid", allowed);
        } catch (IllegalArgumentException e) {
            fault(section, key, e.getMessage(), allowed);
        }
        return Optional.empty();
    }

    private DeploymentKey key(String text) {
        return new DeploymentKey(text.getBytes(StandardCharsets.UTF_8));
    }

    private List<Address> addresses(String section, String key) {
        List<Address> addresses = new ArrayList<>();
        for (String part : text(section, key).orElse("").split(",", -1)) {
            if (!part.isBlank()) {
                parsed(section, key, part.trim(), Address::parse, "IP number:port, separated by commas")
                        .ifPresent(addresses::add);
            }
        }
        return addresses;
    }

    private int number(String key, int min, int max, int otherwise) {
        Optional<String> text = text("limits", key);
        if (text.isEmpty()) {
            return otherwise;
        }
        String allowed = "a whole number from " + min + " to " + max + ", without unit";
        try {
            int value = Integer.parseInt(text.get());
            if (value >= min && value <= max) {
                return value;
            }
            fault("limits", key, value + " is out of range", allowed);
        } catch (NumberFormatException e) {
            fault("limits", key, "\"" + text.get() + "\" is not a whole number", allowed);
        }
        return otherwise;
    }

    private Level level() {
        String text = text("log", "level").orElse("info");
        Level level = LEVELS.get(text);
        if (level == null) {
            fault("log", "level", "\"" + text + "\" is not a level", "one of " + new TreeMap<>(LEVELS).keySet());
            return Level.INFO;
        }
        return level;
    }

    private Optional<String> text(String section, String key) {
        return Optional.ofNullable(ini.getSection(section).getString(key))
                .map(String::trim)
                .filter(text -> !text.isEmpty());
    }

    private void fault(String section, String key, String problem, String allowed) {
        faults.add(new SettingsFault(file, section, key, problem, allowed));
    }
}
