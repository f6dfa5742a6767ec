package org.ibissaddle.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings are invalid. Lists every error that was found. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsError> errors;

    /**
     * Creates an exception.
     *
     * @param errors the errors, at least one
     */
    public SettingsException(List<SettingsError> errors) {
        super(errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors.
     *
     * @return all errors, in the order in which they were found
     */
    public List<SettingsError> errors() {
        return errors;
    }
}
