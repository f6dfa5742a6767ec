package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.membership.ControlLoopAction;
import org.ibissaddle.note.NoteParts;

/**
 * Schedules the reads of the platform. The first instance of a zone in rendezvous order reads by long polling. If no
 * successful read in the zone becomes known, other instances take over after a delay that grows with their rank. The
 * instances do not coordinate this: several readers at a time only cost some additional reads.
 */
final class PlatformReadScheduler {
    static final String LIST = "instances";

    private static final long LONG_POLL_MS = 2_000;
    private static final long START_JITTER_MS = 1_000;
    private static final long TAKEOVER_DELAY_MS = 8_000;
    private static final long TAKEOVER_DELAY_PER_RANK_MS = 1_000;
    private static final long TAKEOVER_DURATION_MS = 20_000;
    private static final long MIN_READ_INTERVAL_MS = 250;
    private static final long INITIAL_BACKOFF_MS = 500;
    private static final long MAX_BACKOFF_MS = 16_000;

    private final RandomGenerator random;
    private final Document note;
    private final Document list;
    private long zoneReadAtMs = Long.MIN_VALUE / 2;
    private long activeUntilMs;
    private long takeoverDelayStartMs;

    PlatformReadScheduler(RandomGenerator random, long nowMs) {
        this.random = random;
        this.takeoverDelayStartMs = nowMs;
        long firstReadMs = nowMs + random.nextLong(START_JITTER_MS);
        this.note = new Document(NoteParts.VALUE_NAME, firstReadMs);
        this.list = new Document(LIST, firstReadMs);
    }

    List<ControlLoopAction> dueReads(int rank, long nowMs) {
        List<ControlLoopAction> actions = new ArrayList<>();
        long lastReadAtMs = Math.max(zoneReadAtMs, takeoverDelayStartMs);
        if (rank > 0 && nowMs - lastReadAtMs > TAKEOVER_DELAY_MS + rank * TAKEOVER_DELAY_PER_RANK_MS) {
            activeUntilMs = nowMs + TAKEOVER_DURATION_MS;
            takeoverDelayStartMs = nowMs;
        }
        boolean activeReader = rank == 0 || nowMs < activeUntilMs;
        if (note.isDue(activeReader, nowMs)) {
            note.inFlight = true;
            actions.add(new ControlLoopAction.ReadValue(note.name, note.revision, note.waitUntilMs(nowMs)));
        }
        if (list.isDue(activeReader, nowMs)) {
            list.inFlight = true;
            actions.add(new ControlLoopAction.ReadList(list.revision, list.waitUntilMs(nowMs)));
        }
        return actions;
    }

    /** Schedules an immediate read of the list, also on an instance that is not the active reader. */
    void readListNow(long nowMs) {
        list.nextMs = Math.min(list.nextMs, nowMs);
        list.attempted = false;
    }

    boolean allAttempted() {
        return note.attempted && list.attempted;
    }

    long noteRevision() {
        return note.revision;
    }

    void recordZoneRead(long atMs) {
        zoneReadAtMs = Math.max(zoneReadAtMs, atMs);
    }

    long zoneReadAgeMs(long nowMs) {
        return zoneReadAtMs < 0 ? -1 : Math.max(0, nowMs - zoneReadAtMs);
    }

    void recordRead(String name, long revision, long nowMs) {
        Document document = document(name);
        document.succeeded(nowMs);
        if (revision == document.revision) {
            document.nextMs = nowMs + LONG_POLL_MS;
        }
        document.revision = revision;
        recordZoneRead(nowMs);
    }

    void recordUnchanged(String name, long nowMs) {
        document(name).succeeded(nowMs);
        recordZoneRead(nowMs);
    }

    void recordFailure(String name, long nowMs) {
        Document document = document(name);
        document.inFlight = false;
        document.attempted = true;
        document.failures = Math.min(document.failures + 1, 30);
        long maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(document.failures, 10));
        document.nextMs = nowMs + INITIAL_BACKOFF_MS / 2 + random.nextLong(maxDelayMs);
    }

    /** Schedules a new read of the note after its parts did not match. */
    void rereadNote(long nowMs) {
        note.revision = 0;
        note.nextMs = nowMs + INITIAL_BACKOFF_MS + random.nextLong(INITIAL_BACKOFF_MS);
    }

    private Document document(String name) {
        return name.equals(LIST) ? list : note;
    }

    private static final class Document {
        private final String name;
        private long revision;
        private long nextMs;
        private int failures;
        private boolean inFlight;
        private boolean attempted;

        Document(String name, long nextMs) {
            this.name = name;
            this.nextMs = nextMs;
        }

        boolean isDue(boolean activeReader, long nowMs) {
            return !inFlight && nowMs >= nextMs && (activeReader || !attempted);
        }

        long waitUntilMs(long nowMs) {
            return attempted && failures == 0 ? nowMs + LONG_POLL_MS : nowMs;
        }

        void succeeded(long nowMs) {
            inFlight = false;
            attempted = true;
            failures = 0;
            nextMs = nowMs + MIN_READ_INTERVAL_MS;
        }
    }
}
