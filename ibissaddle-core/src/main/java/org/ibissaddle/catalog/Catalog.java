package org.ibissaddle.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.Configuration;

/**
 * Local copy of the state that the platform publishes. A later revision of a key replaces an earlier one, whether it
 * was received from the platform or from another instance. A configuration is never replaced by one with a lower
 * version. Confined to one thread.
 */
public final class Catalog {
    /**
     * Time after an outage of the platform during which servers may publish entries again that expired in the meantime.
     * The platform defines this period.
     */
    public static final long REPUBLISH_GRACE_MS = 2_000;

    private static final int MAX_TOMBSTONES = 4_096;

    private final CatalogEventDecoder reader;
    private final Map<String, CatalogItem> items = new HashMap<>();
    private final Map<ServerId, ServerEntry> servers = new HashMap<>();
    private final Set<Zone> evacuated = new HashSet<>();
    private final Map<String, CatalogItem> deferredRemovals = new HashMap<>();
    private Optional<Configuration> configuration = Optional.empty();
    private long revision;
    private long historyFrom = Long.MAX_VALUE;
    private long graceUntilMs;
    /** End of the grace period of another instance, which is not reported to others: it would extend itself. */
    private long otherGraceUntilMs;

    private int tombstoneCount;

    /**
     * Creates an empty catalog.
     *
     * @param reader decodes published values
     */
    public Catalog(CatalogEventDecoder reader) {
        this.reader = reader;
    }

    /**
     * Applies changes received from the platform or from another instance.
     *
     * @param changes the changes
     * @param nowMs current time, milliseconds
     * @return the resulting changes of the local state, in order
     */
    public List<CatalogEvent> apply(Collection<CatalogItem> changes, long nowMs) {
        List<CatalogEvent> events = new ArrayList<>();
        for (CatalogItem change : changes) {
            CatalogItem current = items.get(change.key());
            if (current != null && current.revision() >= change.revision()) {
                continue;
            }
            revision = Math.max(revision, change.revision());
            applyOrDefer(change, nowMs, events);
        }
        return events;
    }

    /**
     * Replaces the contents with a full listing from the platform. Removes keys that are missing from the listing,
     * unless their revision is later.
     *
     * @param all all items
     * @param atRevision lower bound of the revision at which the listing was read
     * @param nowMs current time, milliseconds
     * @return the resulting changes of the local state
     */
    public List<CatalogEvent> applySnapshot(Collection<CatalogItem> all, long atRevision, long nowMs) {
        List<CatalogEvent> events = new ArrayList<>(apply(all, nowMs));
        Set<String> present = new HashSet<>();
        all.forEach(item -> present.add(item.key()));
        for (CatalogItem current : List.copyOf(items.values())) {
            boolean missing =
                    !current.isRemoved() && !present.contains(current.key()) && current.revision() <= atRevision;
            if (missing) {
                applyOrDefer(new CatalogItem(current.key(), null, atRevision), nowMs, events);
            }
        }
        revision = Math.max(revision, atRevision);
        historyFrom = Math.min(historyFrom, atRevision);
        return events;
    }

    /**
     * Starts the grace period after an outage of the platform.
     *
     * @param nowMs current time, milliseconds
     */
    public void startGracePeriod(long nowMs) {
        graceUntilMs = nowMs + REPUBLISH_GRACE_MS;
    }

    /**
     * Extends the grace period to that of an instance that passes changes on, because removals that it has deferred are
     * among them.
     *
     * @param leftMs rest of its grace period, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void extendGracePeriod(long leftMs, long nowMs) {
        otherGraceUntilMs = Math.max(otherGraceUntilMs, nowMs + Math.min(leftMs, REPUBLISH_GRACE_MS));
    }

    /**
     * Returns the rest of the grace period that follows an outage which this instance has noticed itself.
     *
     * @param nowMs current time, milliseconds
     * @return milliseconds, 0 if there is none
     */
    public long graceLeftMs(long nowMs) {
        return Math.max(0, graceUntilMs - nowMs);
    }

    /**
     * Removes servers whose entries expired during an outage and were not published again within the grace period.
     *
     * @param nowMs current time, milliseconds
     * @return the removals
     */
    public List<CatalogEvent> applyDeferredRemovals(long nowMs) {
        if (deferredRemovals.isEmpty() || isGracePeriod(nowMs)) {
            return List.of();
        }
        List<CatalogEvent> events = new ArrayList<>();
        for (CatalogItem removal : List.copyOf(deferredRemovals.values())) {
            store(removal);
            applyEvent(reader.decodeItem(removal), events);
        }
        deferredRemovals.clear();
        return events;
    }

    /**
     * Returns the highest revision received.
     *
     * @return the revision, 0 if none was received
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the latest configuration.
     *
     * @return the configuration, empty if none was received
     */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /**
     * Returns the published servers.
     *
     * @return entries by server id
     */
    public Map<ServerId, ServerEntry> servers() {
        return Map.copyOf(servers);
    }

    /**
     * Returns whether an availability zone is evacuated, so that its servers must not receive requests.
     *
     * @param zone the availability zone
     * @return true if the zone is evacuated
     */
    public boolean isEvacuated(Zone zone) {
        return evacuated.contains(zone);
    }

    /**
     * Returns the changes after a revision, including removals and those that are still deferred, to be sent to another
     * instance; without secrets.
     *
     * @param after the revision
     * @return the changes with a later revision
     */
    public List<CatalogItem> changesAfter(long after) {
        return Stream.concat(items.values().stream(), deferredRemovals.values().stream())
                .filter(item -> item.revision() > after)
                .toList();
    }

    /**
     * Returns the revision from which all removals are known. Another instance that knows an earlier revision can't
     * learn from this one what was removed in between.
     *
     * @return the revision, {@link Long#MAX_VALUE} if the platform was not read
     */
    public long historyFrom() {
        return historyFrom;
    }

    private boolean isGracePeriod(long nowMs) {
        return nowMs < graceUntilMs || nowMs < otherGraceUntilMs;
    }

    private void applyOrDefer(CatalogItem change, long nowMs, List<CatalogEvent> events) {
        CatalogEvent event = reader.decodeItem(change);
        boolean deferRemoval = event instanceof CatalogEvent.ServerRemoved && isGracePeriod(nowMs);
        if (deferRemoval) {
            deferredRemovals.put(change.key(), change);
            return;
        }
        deferredRemovals.remove(change.key());
        store(change);
        applyEvent(event, events);
    }

    private void store(CatalogItem change) {
        items.put(change.key(), reader.withoutSecrets(change));
        if (change.isRemoved() && ++tombstoneCount > MAX_TOMBSTONES) {
            items.values().removeIf(CatalogItem::isRemoved);
            tombstoneCount = 0;
            historyFrom = historyFrom == Long.MAX_VALUE ? historyFrom : revision;
        }
    }

    private void applyEvent(CatalogEvent event, List<CatalogEvent> events) {
        switch (event) {
            case CatalogEvent.ServerPublished published ->
                servers.put(published.entry().id(), published.entry());
            case CatalogEvent.ServerRemoved removed -> servers.remove(removed.id());
            case CatalogEvent.EvacuationRequested requested -> evacuated.add(requested.zone());
            case CatalogEvent.EvacuationWithdrawn withdrawn -> evacuated.remove(withdrawn.zone());
            case CatalogEvent.ConfigurationPublished published -> {
                if (!isNewer(published.configuration())) {
                    return;
                }
                configuration = Optional.of(published.configuration());
            }
            case CatalogEvent.Malformed unreadable -> events.add(unreadable);
            case CatalogEvent.Ignored ignored -> {
                return;
            }
        }
        if (!(event instanceof CatalogEvent.Malformed)) {
            events.add(event);
        }
    }

    private boolean isNewer(Configuration candidate) {
        return configuration
                .map(current -> candidate.version() > current.version())
                .orElse(true);
    }
}
