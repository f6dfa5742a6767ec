package org.ibissaddle.standins.internal.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stores all revisions of the configuration values, so that stale ones can be served. */
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
     * Returns the latest revision of a value within the given limits.
     *
     * @param notAfterMs the latest time of publication, in epoch milliseconds
     * @param maxRevision the highest revision to return
     */
    public Optional<Version> findVersion(String name, long notAfterMs, long maxRevision) {
        List<Version> history = histories.getOrDefault(name, List.of());
        for (Version version : history.reversed()) {
            if (version.publishedMs() <= notAfterMs && version.revision() <= maxRevision) {
                return Optional.of(version);
            }
        }
        return Optional.empty();
    }

    /** Returns the highest revision of all values. */
    public long lastRevision() {
        return lastRevision;
    }

    /**
     * One revision of a value.
     *
     * @param revision the revision number
     * @param publishedMs the time of publication, in epoch milliseconds
     * @param value the content
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Version(long revision, long publishedMs, byte[] value) {}
}
