package org.ibissaddle.note;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a release note is invalid; contains all validation errors. */
public final class NoteRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private static final int MAX_FAULTS_IN_MESSAGE = 20;

    private final transient List<NoteFault> faults;

    /**
     * Creates the exception.
     *
     * @param faults all validation errors found, at least one
     */
    public NoteRejectedException(List<NoteFault> faults) {
        super(summary(faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the validation errors.
     *
     * @return all validation errors found
     */
    public List<NoteFault> faults() {
        return faults;
    }

    private static String summary(List<NoteFault> faults) {
        String first = faults.stream()
                .limit(MAX_FAULTS_IN_MESSAGE)
                .map(NoteFault::message)
                .collect(Collectors.joining("; "));
        return faults.size() > MAX_FAULTS_IN_MESSAGE
                ? first + "; and " + (faults.size() - MAX_FAULTS_IN_MESSAGE) + " more"
                : first;
    }
}
