package org.ibissaddle.route;

import java.util.Locale;

/**
 * A fault of a configuration, or something that is allowed but probably not intended.
 *
 * @param severity whether the configuration should be refused
 * @param place the faulty entry, for example {@code routes[3] "r-x"}
 * @param message what is wrong; never contains an API key
 */
public record ConfigurationFinding(Severity severity, String place, String message) {
    /** Severity of a finding. */
    public enum Severity {
        /** The configuration should not be published. */
        ERROR,
        /** Allowed, but probably not intended. */
        WARNING
    }

    /**
     * Describes the finding in one line for operators.
     *
     * @return the description
     */
    public String line() {
        return severity.name().toLowerCase(Locale.ROOT) + ": " + place + ": " + message;
    }

    static ConfigurationFinding warning(String place, String message) {
        return new ConfigurationFinding(Severity.WARNING, place, message);
    }

    /**
     * Creates an error.
     *
     * @param place the faulty entry
     * @param message what is wrong
     * @return the finding
     */
    public static ConfigurationFinding error(String place, String message) {
        return new ConfigurationFinding(Severity.ERROR, place, message);
    }
}
