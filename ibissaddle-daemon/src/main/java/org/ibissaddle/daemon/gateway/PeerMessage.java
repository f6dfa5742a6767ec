package org.ibissaddle.daemon.gateway;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibissaddle.backend.LeavingServer;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.Heartbeat;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.PeerUpdate;
import org.ibissaddle.peer.RelayedLoad;
import org.ibissaddle.peer.RelayedState;
import org.ibissaddle.peer.ServiceLoad;
import org.ibissaddle.quarantine.Crash;
import org.ibissaddle.quarantine.CrashUpdate;

/**
 * A message between instances, encoded as JSON.
 *
 * @param sender the sender's state
 * @param others states of other instances, for recipients of an earlier version, which require the field
 * @param knownRevision highest revision of the platform's store that the sender has seen, in its era
 * @param wantsChanges whether the sender cannot reach the platform and requests the changes that it missed
 * @param changes changes that the recipient has missed
 * @param partMarks prompt parts that were in flight at a crash
 * @param partProofs marked prompt parts that a server has survived
 * @param requestMarks fingerprints of requests that were in flight at a crash
 * @param requestProofs fingerprints of marked requests that a server has survived
 * @param leaving backend servers of the sender's region that have announced that they are leaving; sent within the
 *     region only
 * @param states states of other instances that the recipient presumably lacks
 * @param heartbeats {@link HeartbeatText} of other instances; null if the sender has an earlier version
 * @param loads loads of other regions; sent within the region only
 * @param feed how far {@code changes} reach; null if the sender has an earlier version
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record PeerMessage(
        State sender,
        List<AgedState> others,
        long knownRevision,
        boolean wantsChanges,
        List<Change> changes,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Mark> partMarks,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Proof> partProofs,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Mark> requestMarks,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Proof> requestProofs,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Leaving> leaving,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<CompactState> states,
        String heartbeats,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Load> loads,
        Feed feed) {
    /** Reads a message of an instance of an earlier version as one without the parts that it does not know. */
    PeerMessage {
        partMarks = partMarks == null ? List.of() : List.copyOf(partMarks);
        partProofs = partProofs == null ? List.of() : List.copyOf(partProofs);
        requestMarks = requestMarks == null ? List.of() : List.copyOf(requestMarks);
        requestProofs = requestProofs == null ? List.of() : List.copyOf(requestProofs);
        leaving = leaving == null ? List.of() : List.copyOf(leaving);
        states = states == null ? List.of() : List.copyOf(states);
        loads = loads == null ? List.of() : List.copyOf(loads);
    }

    /**
     * How far the changes in a message reach. All revisions are those of the sender's era.
     *
     * @param after the message has all changes after this revision
     * @param upTo and up to this one
     * @param historyFrom revision from which the sender knows all removals
     * @param graceMs rest of the sender's grace period after an outage of the store, milliseconds
     * @param pushed whether the message was sent because of the changes; its response tells nothing else
     * @param whole whether the message has all of the era's state, for a recipient of an earlier era
     */
    record Feed(
            @JsonProperty("a") long after,
            @JsonProperty("r") long upTo,
            @JsonProperty("h") long historyFrom,

            @JsonProperty("g") @JsonInclude(JsonInclude.Include.NON_DEFAULT)
            long graceMs,

            @JsonProperty("p") @JsonInclude(JsonInclude.Include.NON_DEFAULT)
            boolean pushed,

            @JsonProperty("w") @JsonInclude(JsonInclude.Include.NON_DEFAULT)
            boolean whole) {
        static Feed of(StoreVersion after, StoreVersion upTo, StoreVersion historyFrom, long graceMs, boolean pushed) {
            boolean whole = after.era() < upTo.era();
            return new Feed(
                    whole ? 0 : after.revision(), upTo.revision(), historyFrom.revision(), graceMs, pushed, whole);
        }
    }

    /** Returns the version up to which the changes in the message reach. */
    StoreVersion upTo() {
        return versionOf(feed.upTo());
    }

    /** Returns whether an instance that knows all changes up to a version knows them up to {@link #upTo} now. */
    boolean continues(StoreVersion known) {
        return !upTo().isAfter(known)
                || (!versionOf(feed.after()).isAfter(known)
                        && !versionOf(feed.historyFrom()).isAfter(known));
    }

    /** Returns whether the message has the whole state of an era that is later than that of a version. */
    boolean beginsEraAfter(StoreVersion known) {
        return feed != null && feed.whole() && sender.era() > known.era();
    }

    private StoreVersion versionOf(long revision) {
        return new StoreVersion(sender.era(), revision);
    }

    StoreVersion knownVersion() {
        return versionOf(knownRevision);
    }

    List<CatalogItem> items() {
        return changes.stream().map(Change::toItem).toList();
    }

    /** A published value or its removal. */
    record Change(
            String key,
            String value,
            long revision,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era) {
        static Change of(CatalogItem item) {
            return new Change(
                    item.key(),
                    item.value(),
                    item.version().revision(),
                    item.version().era());
        }

        CatalogItem toItem() {
            return new CatalogItem(key, value, new StoreVersion(era, revision));
        }
    }

    /**
     * Returns what the message tells about other instances.
     *
     * @throws HeartbeatText.MalformedHeartbeatException if a heartbeat is malformed
     */
    PeerUpdate toPeerUpdate() throws HeartbeatText.MalformedHeartbeatException {
        List<RelayedState> relayed = Stream.concat(
                        others.stream().map(AgedState::toRelayedState),
                        states.stream().map(CompactState::toRelayedState))
                .toList();
        List<Heartbeat> beats = heartbeats == null ? List.of() : HeartbeatText.decode(heartbeats);
        return new PeerUpdate(
                relayed, beats, loads.stream().map(Load::toRelayedLoad).toList());
    }

    /** A backend server that is leaving, and the start time of its process in epoch milliseconds. */
    record Leaving(String server, long startedMs) {
        LeavingServer toLeavingServer() {
            return new LeavingServer(new ServerId(server), OptionalLong.of(startedMs));
        }
    }

    CrashUpdate promptPartUpdate() {
        return update(partMarks, partProofs);
    }

    CrashUpdate requestUpdate() {
        return update(requestMarks, requestProofs);
    }

    private static CrashUpdate update(List<Mark> marks, List<Proof> proofs) {
        return new CrashUpdate(
                marks.stream().map(Mark::toMark).toList(),
                proofs.stream().map(Proof::toProof).toList());
    }

    /** Content that was in flight at a crash; the field is named for the prompt parts of earlier versions. */
    record Mark(@JsonProperty("part") String key, String server, String life, Set<String> homes, long ageMs) {
        static Mark of(CrashUpdate.Mark mark) {
            Crash crash = mark.crash();
            return new Mark(mark.key(), crash.server().name(), crash.life(), regionNames(mark.homes()), mark.ageMs());
        }

        CrashUpdate.Mark toMark() {
            return new CrashUpdate.Mark(key, new Crash(new ServerId(server), life), regions(homes), ageMs);
        }
    }

    /** Marked content that a server has survived. */
    record Proof(@JsonProperty("part") String key, Set<String> homes, long ageMs) {
        static Proof of(CrashUpdate.Proof proof) {
            return new Proof(proof.key(), regionNames(proof.homes()), proof.ageMs());
        }

        CrashUpdate.Proof toProof() {
            return new CrashUpdate.Proof(key, regions(homes), ageMs);
        }
    }

    private static Set<String> regionNames(Set<Region> regions) {
        return regions.stream().map(Region::name).collect(Collectors.toUnmodifiableSet());
    }

    private static Set<Region> regions(Set<String> names) {
        return names == null ? Set.of() : names.stream().map(Region::new).collect(Collectors.toUnmodifiableSet());
    }

    /** The state of an instance, with names and addresses as text. */
    record State(
            String id,
            long incarnation,
            long sequence,
            String region,
            String zone,
            String callerAddress,
            String peerAddress,
            boolean ready,
            boolean draining,
            long revision,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era,
            boolean platformReachable,
            int knownInstances,
            Map<String, ServiceLoad> services,
            int version,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean followsReader,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean behind) {
        static State of(PeerState state) {
            return new State(
                    state.id().name(),
                    state.incarnation(),
                    state.sequence(),
                    state.region().name(),
                    state.zone().name(),
                    state.callerAddress().toString(),
                    state.peerAddress().toString(),
                    state.ready(),
                    state.draining(),
                    state.storeVersion().revision(),
                    state.storeVersion().era(),
                    state.platformReachable(),
                    state.knownInstances(),
                    state.services(),
                    state.version(),
                    state.followsReader(),
                    state.behind());
        }

        PeerState toPeerState() {
            return new PeerState(
                    new InstanceId(id),
                    incarnation,
                    sequence,
                    new Region(region),
                    new Zone(zone),
                    Address.parse(callerAddress),
                    Address.parse(peerAddress),
                    ready,
                    draining,
                    new StoreVersion(era, revision),
                    platformReachable,
                    knownInstances,
                    services == null ? Map.of() : services,
                    version,
                    followsReader,
                    behind);
        }
    }

    /**
     * A relayed state with short field names. Loads are sent separately, and the rest of the fields only by the
     * instance itself.
     */
    record CompactState(
            @JsonProperty("i") String id,
            @JsonProperty("n") long incarnation,
            @JsonProperty("q") long sequence,
            @JsonProperty("v") int version,
            @JsonProperty("r") String region,
            @JsonProperty("z") String zone,
            @JsonProperty("c") String callerAddress,
            @JsonProperty("p") String peerAddress,
            @JsonProperty("f") int flags,
            @JsonProperty("k") int knownInstances,
            @JsonProperty("a") long ageMs) {
        private static final int READY = 1;
        private static final int DRAINING = 2;
        private static final int PLATFORM_REACHABLE = 4;
        private static final int FOLLOWS_READER = 8;
        private static final int BEHIND = 16;

        static CompactState of(RelayedState relayed) {
            PeerState state = relayed.state();
            return new CompactState(
                    state.id().name(),
                    state.incarnation(),
                    state.sequence(),
                    state.version(),
                    state.region().name(),
                    state.zone().name(),
                    state.callerAddress().toString(),
                    state.peerAddress().toString(),
                    (state.ready() ? READY : 0)
                            | (state.draining() ? DRAINING : 0)
                            | (state.platformReachable() ? PLATFORM_REACHABLE : 0)
                            | (state.followsReader() ? FOLLOWS_READER : 0)
                            | (state.behind() ? BEHIND : 0),
                    state.knownInstances(),
                    relayed.ageMs());
        }

        RelayedState toRelayedState() {
            PeerState state = new PeerState(
                    new InstanceId(id),
                    incarnation,
                    sequence,
                    new Region(region),
                    new Zone(zone),
                    Address.parse(callerAddress),
                    Address.parse(peerAddress),
                    (flags & READY) != 0,
                    (flags & DRAINING) != 0,
                    StoreVersion.NONE,
                    (flags & PLATFORM_REACHABLE) != 0,
                    knownInstances,
                    Map.of(),
                    version,
                    (flags & FOLLOWS_READER) != 0,
                    (flags & BEHIND) != 0);
            return new RelayedState(state, ageMs);
        }
    }

    /** The load that an instance of another region reported, as free slots and wait in milliseconds of each service. */
    record Load(
            @JsonProperty("i") String id,
            @JsonProperty("s") Map<String, long[]> services,
            @JsonProperty("a") long ageMs) {
        static Load of(RelayedLoad relayed) {
            return new Load(
                    relayed.id().name(),
                    relayed.services().entrySet().stream()
                            .collect(Collectors.toMap(Map.Entry::getKey, entry -> new long[] {
                                entry.getValue().freeSlots(), entry.getValue().waitMs()
                            })),
                    relayed.ageMs());
        }

        RelayedLoad toRelayedLoad() {
            return new RelayedLoad(
                    new InstanceId(id),
                    services.entrySet().stream()
                            .filter(entry -> entry.getValue().length >= 2)
                            .collect(Collectors.toMap(
                                    Map.Entry::getKey,
                                    entry -> new ServiceLoad((int) entry.getValue()[0], entry.getValue()[1]))),
                    ageMs);
        }
    }

    /** A state received from another instance, with its age in milliseconds. */
    record AgedState(State state, long ageMs) {
        static AgedState of(RelayedState relayed) {
            return new AgedState(State.of(relayed.state()), relayed.ageMs());
        }

        RelayedState toRelayedState() {
            return new RelayedState(state.toPeerState(), ageMs);
        }
    }
}
