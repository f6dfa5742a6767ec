package org.ibissaddle.daemon.gateway;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.ibissaddle.daemon.settings.SettingsError;
import org.ibissaddle.daemon.settings.SettingsException;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.quota.QuotaBounds;

/** Reads the settings of a gateway instance from INI and reports all faults at once. Unknown keys are ignored. */
public final class GatewaySettingsReader {
    private static final int MS_PER_SECOND = 1_000;
    private static final double MAX_REVOKE_MS = 3_600_000;
    private static final int MAX_QUOTA_WINDOW_S = 3_600;
    private static final double MAX_QUOTA_EXCESS = 100;
    private static final double MAX_QUOTA_SLACK = 1e15;
    private static final int MAX_PORT = 65_535;
    private static final String ADDRESS_FORMAT = "IP:PORT";
    private static final String NAME_FORMAT = "letters, digits, dots, underscores, colons and hyphens";
    private static final String ZONES_FORMAT = "ZONE:REGION, separated by commas";

    private final String file;
    private final INIConfiguration ini;
    private final List<SettingsError> faults = new ArrayList<>();

    private GatewaySettingsReader(String file, INIConfiguration ini) {
        this.file = file;
        this.ini = ini;
    }

    /**
     * Reads settings from a file.
     *
     * @param path the file
     * @return the settings
     * @throws SettingsException if the file has faults; lists all of them
     */
    public static GatewaySettings read(Path path) throws SettingsException {
        try {
            return read(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw unreadable(path.toString(), "cannot be read: " + e.getMessage());
        }
    }

    /**
     * Reads settings from text.
     *
     * @param file file name for error messages
     * @param text the text
     * @return the settings
     * @throws SettingsException if the text has faults; lists all of them
     */
    public static GatewaySettings read(String file, String text) throws SettingsException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw unreadable(file, "is not valid INI: " + e.getMessage());
        }
        return new GatewaySettingsReader(file, ini).settings();
    }

    private static SettingsException unreadable(String file, String problem) {
        return new SettingsException(List.of(new SettingsError(file, "file", "", problem, "a readable INI file")));
    }

    private GatewaySettings settings() throws SettingsException {
        Address peerAddress = value("gateway", "peer-address", Address::parse, ADDRESS_FORMAT);
        List<Address> seeds = new ArrayList<>(list("peers", "seeds", Address::parse, ADDRESS_FORMAT));
        seeds.remove(peerAddress);
        GatewaySettings settings = null;
        InstanceId name = value("instance", "name", InstanceId::new, NAME_FORMAT);
        Region region = value("instance", "region", Region::new, NAME_FORMAT);
        Zone zone = value("instance", "zone", Zone::new, NAME_FORMAT);
        Map<Zone, Region> zones = zones();
        Address caller = value("gateway", "caller-address", Address::parse, ADDRESS_FORMAT);
        Address readiness = value("gateway", "readiness-address", Address::parse, ADDRESS_FORMAT);
        Address directory = value("gateway", "directory-address", Address::parse, ADDRESS_FORMAT);
        int metricsPort = (int) number("gateway", "metrics-port", 0, MAX_PORT);
        Address store = value("platform", "store-address", Address::parse, ADDRESS_FORMAT);
        GatewaySettings.PlatformLimits platformLimits = bounds();
        if (zone != null && !zones.containsKey(zone)) {
            addFault(
                    "instance",
                    "zone",
                    "availability zone " + zone + " is not among zones",
                    "a zone of [instance] zones");
        }
        if (faults.isEmpty()) {
            settings = new GatewaySettings(
                    name,
                    region,
                    zone,
                    zones,
                    caller,
                    readiness,
                    directory,
                    peerAddress,
                    metricsPort,
                    store,
                    seeds,
                    platformLimits);
        }
        if (settings == null) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    private GatewaySettings.PlatformLimits bounds() {
        return new GatewaySettings.PlatformLimits(
                number("bounds", "retry-ratio", 0, 1),
                (long) (number("bounds", "retry-window-s", 1, 3_600) * MS_PER_SECOND),
                number("bounds", "retry-slack", 0, Integer.MAX_VALUE),
                (long) (number("bounds", "stop-grace-s", 0, 3_600) * MS_PER_SECOND),
                (int) number("bounds", "directory-ttl-s", 1, 3_600),
                revocation(),
                quotaBounds());
    }

    private QuotaBounds quotaBounds() {
        QuotaBounds defaults = QuotaBounds.DEFAULT;
        return new QuotaBounds(
                (long) (optional("quota-window-s", 1, MAX_QUOTA_WINDOW_S, (double) defaults.windowMs() / MS_PER_SECOND)
                        * MS_PER_SECOND),
                optional("quota-excess", 0, MAX_QUOTA_EXCESS, defaults.excess()),
                optional("quota-slack", 0, MAX_QUOTA_SLACK, defaults.slack()));
    }

    /** Reads a number of the section bounds; the platform renders a value that it lacks as empty text. */
    private double optional(String key, double min, double max, double whenEmpty) {
        return text("bounds", key).isEmpty() ? whenEmpty : number("bounds", key, min, max);
    }

    private GatewaySettings.Revocation revocation() {
        GatewaySettings.Revocation defaults = GatewaySettings.Revocation.DEFAULT;
        long revokeMs = text("bounds", "revoke-ms").isEmpty()
                ? defaults.revokeMs()
                : (long) number("bounds", "revoke-ms", 1, MAX_REVOKE_MS);
        return new GatewaySettings.Revocation(flag("bounds", "strict-revoke", defaults.strict()), revokeMs);
    }

    /** Reads an optional flag; the platform renders a value that it lacks as empty text. */
    private boolean flag(String section, String key, boolean whenEmpty) {
        String text = text(section, key);
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "" -> whenEmpty;
            case "true" -> true;
            case "false" -> false;
            default -> {
                addFault(section, key, "\"" + text + "\" is not a flag", "true or false");
                yield whenEmpty;
            }
        };
    }

    private Map<Zone, Region> zones() {
        Map<Zone, Region> zones = new HashMap<>();
        for (String pair : list("instance", "zones", Function.identity(), ZONES_FORMAT)) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                addFault("instance", "zones", "\"" + pair + "\" has no region", ZONES_FORMAT);
                continue;
            }
            try {
                zones.put(new Zone(pair.substring(0, colon)), new Region(pair.substring(colon + 1)));
            } catch (InvalidIdentifierException e) {
                addFault("instance", "zones", e.getMessage(), ZONES_FORMAT);
            }
        }
        return zones;
    }

    private <T> T value(String section, String key, Function<String, T> parse, String allowed) {
        String text = text(section, key);
        if (text.isEmpty()) {
            addFault(section, key, "is missing", allowed);
            return null;
        }
        try {
            return parse.apply(text);
        } catch (InvalidIdentifierException e) {
            addFault(section, key, e.getMessage(), allowed);
            return null;
        }
    }

    private <T> List<T> list(String section, String key, Function<String, T> parse, String allowed) {
        List<T> values = new ArrayList<>();
        for (String item : text(section, key).split(",", -1)) {
            if (item.isBlank()) {
                continue;
            }
            try {
                values.add(parse.apply(item.trim()));
            } catch (InvalidIdentifierException e) {
                addFault(section, key, e.getMessage(), allowed);
            }
        }
        return values;
    }

    private double number(String section, String key, double min, double max) {
        String text = text(section, key);
        String allowed = min + " to " + max;
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            addFault(section, key, "\"" + text + "\" is not a number", allowed);
            return min;
        }
        addFault(section, key, text + " is out of range", allowed);
        return min;
    }

    private String text(String section, String key) {
        SubnodeConfiguration node = ini.getSection(section);
        return node.getString(key, "").trim();
    }

    private void addFault(String section, String key, String problem, String allowed) {
        faults.add(new SettingsError(file, section, key, problem, allowed));
    }
}
