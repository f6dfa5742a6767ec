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
 * Local copy of the state that the platform publishes. A later version of a key replaces an earlier one, whether it was
 * received from the platform or from another instance. A configuration is never replaced by one with a lower version.
 * Confined to one thread.
 *
 * <p>In a new era the platform's store has an older copy of its state, and its writers have yet to repeat what they
 * wrote since. Until then, what is known to be later than the copy stays: the configuration with the highest version,
 * the latest entry of each server process, and its removal. What the copy lacks is judged as after an outage: servers
 * are removed unless they are published again within the grace period, and evacuations stay in force for longer, since
 * a request to an evacuated zone does more harm than a zone that is spared for some seconds.
 */
public final class Catalog {
    /**
     * Time after an outage of the platform during which servers may publish entries again that expired in the meantime.
     * The platform defines this period.
     */
    public static final long REPUBLISH_GRACE_MS = 2_000;

    /** Time after the start of an era for which evacuations stay in force that the store no longer has. */
    public static final long EVACUATION_GRACE_MS = 10_000;

    private static final int MAX_TOMBSTONES = 4_096;

    private final CatalogEventDecoder reader;
    private final Map<String, CatalogItem> items = new HashMap<>();
    private final Map<ServerId, ServerEntry> servers = new HashMap<>();
    private final Set<Zone> evacuated = new HashSet<>();
    private final Map<String, CatalogItem> deferredRemovals = new HashMap<>();
    /** Latest entries of removed servers: the copy of a new era may still have an earlier one. */
    private final Map<ServerId, ServerEntry> removedServers = new HashMap<>();
    /** Evacuations in force that the store of this era does not have. */
    private final Map<String, CatalogItem> unconfirmedEvacuations = new HashMap<>();

    private Optional<Configuration> configuration = Optional.empty();
    private StoreVersion version = StoreVersion.NONE;
    private StoreVersion historyFrom = StoreVersion.MAX;
    /** Version of the latest full listing: what it does not have, and is not later, was removed before. */
    private StoreVersion listedAt = StoreVersion.NONE;

    private long unconfirmedUntilMs;
    private long ignoredItems;
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
     * Applies changes received from the platform or from another instance. Those of another era are ignored: a later
     * era begins with a full listing.
     *
     * @param changes the changes
     * @param nowMs current time, milliseconds
     * @return the resulting changes of the local state, in order
     */
    public List<CatalogEvent> apply(Collection<CatalogItem> changes, long nowMs) {
        List<CatalogEvent> events = new ArrayList<>();
        for (CatalogItem change : changes) {
            if (!version.equals(StoreVersion.NONE) && change.version().era() != version.era()) {
                ignoredItems++;
                continue;
            }
            CatalogItem current = items.get(change.key());
            if (isOutdated(change, current)) {
                continue;
            }
            version = StoreVersion.max(version, change.version());
            boolean kept = current != null
                    && current.version().era() < change.version().era()
                    && !isLater(change);
            if (kept) {
                forgetRemoval(change.key());
                store(current.at(change.version()));
                continue;
            }
            applyOrDefer(change, nowMs, events);
        }
        return events;
    }

    /**
     * Replaces the contents with a full listing from the platform. Removes keys that are missing from the listing,
     * unless their version is later.
     *
     * @param all all items
     * @param at lower bound of the version at which the listing was read
     * @param nowMs current time, milliseconds
     * @return the resulting changes of the local state
     */
    public List<CatalogEvent> applySnapshot(Collection<CatalogItem> all, StoreVersion at, long nowMs) {
        if (at.era() < version.era()) {
            ignoredItems += all.size();
            return List.of();
        }
        boolean newEra = at.era() > version.era() && !version.equals(StoreVersion.NONE);
        if (newEra) {
            version = new StoreVersion(at.era(), 0);
            startGracePeriod(nowMs);
            unconfirmedUntilMs = nowMs + EVACUATION_GRACE_MS;
        }
        StoreVersion listedBefore = listedAt;
        if (at.isAfter(listedAt)) {
            // An earlier listing does not tell what a later one may have.
            listedAt = StoreVersion.NONE;
        }
        List<CatalogEvent> events = new ArrayList<>(apply(all, nowMs));
        listedAt = StoreVersion.max(listedBefore, at);
        Set<String> present = new HashSet<>();
        all.forEach(item -> present.add(item.key()));
        for (CatalogItem current : List.copyOf(items.values())) {
            boolean missing = !current.isRemoved()
                    && !present.contains(current.key())
                    && !current.version().isAfter(at);
            if (missing) {
                removeMissing(current, at, nowMs, events);
            }
        }
        version = StoreVersion.max(version, at);
        historyFrom = newEra ? at : StoreVersion.min(historyFrom, at);
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
     * Removes servers whose entries expired during an outage and were not published again within the grace period, and
     * ends evacuations that the store of a new era has not had for {@link #EVACUATION_GRACE_MS}.
     *
     * @param nowMs current time, milliseconds
     * @return the removals
     */
    public List<CatalogEvent> applyDeferredRemovals(long nowMs) {
        List<CatalogEvent> events = new ArrayList<>();
        if (!isGracePeriod(nowMs)) {
            applyAll(deferredRemovals, events);
        }
        if (nowMs >= unconfirmedUntilMs) {
            applyAll(unconfirmedEvacuations, events);
        }
        return events;
    }

    private void applyAll(Map<String, CatalogItem> deferred, List<CatalogEvent> events) {
        for (CatalogItem removal : List.copyOf(deferred.values())) {
            store(removal);
            applyEvent(reader.decodeItem(removal), events);
        }
        deferred.clear();
    }

    /**
     * Returns the latest version received.
     *
     * @return the version, {@link StoreVersion#NONE} if none was received
     */
    public StoreVersion version() {
        return version;
    }

    /**
     * Returns the number of items that were ignored because they are of an earlier era.
     *
     * @return number since the creation
     */
    public long ignoredItems() {
        return ignoredItems;
    }

    /**
     * Returns the number of servers and evacuations that are kept although the store does not have them at present.
     *
     * @return number of deferred removals
     */
    public int unconfirmedItems() {
        return deferredRemovals.size() + unconfirmedEvacuations.size();
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
     * Returns the changes after a version, including removals and those that are still deferred, to be sent to another
     * instance; without secrets, and without what was published in earlier eras only.
     *
     * @param after the version
     * @return the changes with a later version
     */
    public List<CatalogItem> changesAfter(StoreVersion after) {
        return Stream.concat(items.values().stream(), deferredRemovals.values().stream())
                .filter(item -> item.version().isAfter(after) && item.version().era() == version.era())
                .toList();
    }

    /**
     * Returns the version from which all removals are known. Another instance that knows an earlier version of the same
     * era can't learn from this one what was removed in between.
     *
     * @return the version, {@link StoreVersion#MAX} if the platform was not read
     */
    public StoreVersion historyFrom() {
        return historyFrom;
    }

    private boolean isGracePeriod(long nowMs) {
        return nowMs < graceUntilMs || nowMs < otherGraceUntilMs;
    }

    /** Returns whether a later change of the key is known, or its removal. */
    private boolean isOutdated(CatalogItem change, CatalogItem current) {
        boolean removedBeforeListing = current == null && !change.version().isAfter(listedAt);
        return removedBeforeListing
                || isKnown(change, current)
                || isKnown(change, deferredRemovals.get(change.key()))
                || isKnown(change, unconfirmedEvacuations.get(change.key()));
    }

    private static boolean isKnown(CatalogItem change, CatalogItem known) {
        return known != null && !change.version().isAfter(known.version());
    }

    /**
     * Returns whether an item of a new era is later than what is known: the store may have come back with an earlier
     * configuration, or an earlier entry of a server process.
     */
    private boolean isLater(CatalogItem change) {
        return switch (reader.decodeItem(change)) {
            case CatalogEvent.ConfigurationPublished published -> isNewer(published.configuration());
            case CatalogEvent.ServerPublished published -> isLatest(published.entry());
            default -> true;
        };
    }

    private boolean isLatest(ServerEntry entry) {
        ServerEntry known = servers.getOrDefault(entry.id(), removedServers.get(entry.id()));
        return known == null || entry.isAfter(known);
    }

    private void removeMissing(CatalogItem known, StoreVersion at, long nowMs, List<CatalogEvent> events) {
        CatalogItem removal = new CatalogItem(known.key(), null, at);
        if (known.version().era() == at.era()) {
            applyOrDefer(removal, nowMs, events);
            return;
        }
        switch (reader.decodeItem(removal)) {
            case CatalogEvent.EvacuationWithdrawn withdrawn -> unconfirmedEvacuations.put(known.key(), removal);
            case CatalogEvent.Ignored configuration -> store(known.at(at));
            default -> applyOrDefer(removal, nowMs, events);
        }
    }

    private void applyOrDefer(CatalogItem change, long nowMs, List<CatalogEvent> events) {
        CatalogEvent event = reader.decodeItem(change);
        boolean deferRemoval = event instanceof CatalogEvent.ServerRemoved && isGracePeriod(nowMs);
        if (deferRemoval) {
            deferredRemovals.put(change.key(), change);
            return;
        }
        forgetRemoval(change.key());
        store(change);
        applyEvent(event, events);
    }

    private void forgetRemoval(String key) {
        deferredRemovals.remove(key);
        unconfirmedEvacuations.remove(key);
    }

    private void store(CatalogItem change) {
        items.put(change.key(), reader.withoutSecrets(change));
        if (change.isRemoved() && ++tombstoneCount > MAX_TOMBSTONES) {
            items.values().removeIf(CatalogItem::isRemoved);
            removedServers.clear();
            tombstoneCount = 0;
            historyFrom = historyFrom.equals(StoreVersion.MAX) ? historyFrom : version;
        }
    }

    private void applyEvent(CatalogEvent event, List<CatalogEvent> events) {
        switch (event) {
            case CatalogEvent.ServerPublished published -> {
                servers.put(published.entry().id(), published.entry());
                removedServers.remove(published.entry().id());
            }
            case CatalogEvent.ServerRemoved removed ->
                Optional.ofNullable(servers.remove(removed.id()))
                        .ifPresent(entry -> removedServers.put(removed.id(), entry));
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
