package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.membership.Action;
import org.ibissaddle.note.NoteParts;

/**
 * Decides when this instance reads the platform. The first instance of a zone by rendezvous order watches; others take
 * over, each later than the one before, when they hear of no successful read in their zone. Nobody agrees on it: two
 * readers for a while cost a few reads.
 */
final class PlatformReads {
    static final String LIST = "instances";

    private static final long WATCH_MS = 2_000;
    private static final long START_SPREAD_MS = 1_000;
    private static final long PATIENCE_MS = 8_000;
    private static final long RANK_PATIENCE_MS = 1_000;
    private static final long DUTY_MS = 20_000;
    private static final long MIN_SPACING_MS = 250;
    private static final long FIRST_BACKOFF_MS = 500;
    private static final long MAX_BACKOFF_MS = 16_000;

    private final RandomGenerator random;
    private final Document note;
    private final Document list;
    private long zoneReadAtMs = Long.MIN_VALUE / 2;
    private long dutyUntilMs;
    private long patienceFromMs;

    PlatformReads(RandomGenerator random, long nowMs) {
        this.random = random;
        this.patienceFromMs = nowMs;
        long firstMs = nowMs + random.nextLong(START_SPREAD_MS);
        this.note = new Document(NoteParts.NAME, firstMs);
        this.list = new Document(LIST, firstMs);
    }

    List<Action> due(int rank, long nowMs) {
        List<Action> actions = new ArrayList<>();
        long heardAtMs = Math.max(zoneReadAtMs, patienceFromMs);
        if (rank > 0 && nowMs - heardAtMs > PATIENCE_MS + rank * RANK_PATIENCE_MS) {
            dutyUntilMs = nowMs + DUTY_MS;
            patienceFromMs = nowMs;
        }
        boolean onDuty = rank == 0 || nowMs < dutyUntilMs;
        if (note.mayRead(onDuty, nowMs)) {
            note.pending = true;
            actions.add(new Action.ReadValue(note.name, note.revision, note.waitUntilMs(nowMs)));
        }
        if (list.mayRead(onDuty, nowMs)) {
            list.pending = true;
            actions.add(new Action.ReadList(list.revision, list.waitUntilMs(nowMs)));
        }
        return actions;
    }

    /** Asks for an immediate read, after a pause of the process. */
    void hurry(long nowMs) {
        list.nextMs = Math.min(list.nextMs, nowMs);
        list.asked = false;
    }

    boolean asked() {
        return note.asked && list.asked;
    }

    long noteRevision() {
        return note.revision;
    }

    void zoneRead(long atMs) {
        zoneReadAtMs = Math.max(zoneReadAtMs, atMs);
    }

    long zoneReadAgeMs(long nowMs) {
        return zoneReadAtMs < 0 ? -1 : Math.max(0, nowMs - zoneReadAtMs);
    }

    void read(String name, long revision, long nowMs) {
        Document document = document(name);
        document.succeeded(nowMs);
        if (revision == document.revision) {
            document.nextMs = nowMs + WATCH_MS;
        }
        document.revision = revision;
        zoneRead(nowMs);
    }

    void unchanged(String name, long nowMs) {
        document(name).succeeded(nowMs);
        zoneRead(nowMs);
    }

    void failed(String name, long nowMs) {
        Document document = document(name);
        document.pending = false;
        document.asked = true;
        document.failures = Math.min(document.failures + 1, 30);
        long limitMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << Math.min(document.failures, 10));
        document.nextMs = nowMs + FIRST_BACKOFF_MS / 2 + random.nextLong(limitMs);
    }

    /** Reads the note again from the start, after parts did not fit together. */
    void forgetNote(long nowMs) {
        note.revision = 0;
        note.nextMs = nowMs + FIRST_BACKOFF_MS + random.nextLong(FIRST_BACKOFF_MS);
    }

    private Document document(String name) {
        return name.equals(LIST) ? list : note;
    }

    private static final class Document {
        private final String name;
        private long revision;
        private long nextMs;
        private int failures;
        private boolean pending;
        private boolean asked;

        Document(String name, long nextMs) {
            this.name = name;
            this.nextMs = nextMs;
        }

        boolean mayRead(boolean onDuty, long nowMs) {
            return !pending && nowMs >= nextMs && (onDuty || !asked);
        }

        long waitUntilMs(long nowMs) {
            return asked && failures == 0 ? nowMs + WATCH_MS : nowMs;
        }

        void succeeded(long nowMs) {
            pending = false;
            asked = true;
            failures = 0;
            nextMs = nowMs + MIN_SPACING_MS;
        }
    }
}
