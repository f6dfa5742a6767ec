package org.ibissaddle.note;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a release note is refused; carries every fault found. */
public final class NoteRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private static final int SHOWN = 20;

    private final transient List<NoteFault> faults;

    /**
     * Creates the exception.
     *
     * @param faults all faults found, at least one
     */
    public NoteRejectedException(List<NoteFault> faults) {
        super(summary(faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns the faults.
     *
     * @return all faults found
     */
    public List<NoteFault> faults() {
        return faults;
    }

    private static String summary(List<NoteFault> faults) {
        String first = faults.stream().limit(SHOWN).map(NoteFault::message).collect(Collectors.joining("; "));
        return faults.size() > SHOWN ? first + "; and " + (faults.size() - SHOWN) + " more" : first;
    }
}
