package org.ibissaddle.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings are invalid. Lists every error that was found. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Creates an exception.
     *
     * @param faults the errors, at least one
     */
    public SettingsException(List<SettingsFault> faults) {
        super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the errors.
     *
     * @return all errors, in the order in which they were found
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
