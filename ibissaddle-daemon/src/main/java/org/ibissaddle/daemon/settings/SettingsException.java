package org.ibissaddle.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings cannot be used; names every fault that was found. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Collects the faults.
     *
     * @param faults at least one
     */
    public SettingsException(List<SettingsFault> faults) {
        super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return every fault found, in the order of the file
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
