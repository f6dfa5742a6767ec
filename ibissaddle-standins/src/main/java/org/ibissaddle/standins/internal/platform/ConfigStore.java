package org.ibissaddle.standins.internal.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Every revision of the configuration values, so that an old one can be served. */
public final class ConfigStore {
    private final Map<String, List<Version>> histories = new HashMap<>();
    private long lastRevision;

    /** Stores a value and returns its revision. */
    public long put(String name, byte[] value, long nowMs) {
        lastRevision++;
        histories.computeIfAbsent(name, key -> new ArrayList<>()).add(new Version(lastRevision, nowMs, value));
        return lastRevision;
    }

    /**
     * Finds the value that a reader sees.
     *
     * @param notAfterMs the latest time of publication
     * @param maxRevision the highest revision
     */
    public Optional<Version> visible(String name, long notAfterMs, long maxRevision) {
        List<Version> history = histories.getOrDefault(name, List.of());
        for (Version version : history.reversed()) {
            if (version.publishedMs() <= notAfterMs && version.revision() <= maxRevision) {
                return Optional.of(version);
            }
        }
        return Optional.empty();
    }

    /** The highest revision of all values. */
    public long lastRevision() {
        return lastRevision;
    }

    /**
     * One revision of a value.
     *
     * @param revision its number
     * @param publishedMs when it was published, in epoch milliseconds
     * @param value its bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Version(long revision, long publishedMs, byte[] value) {}
}
