package org.ibissaddle.daemon.gateway;

import java.util.List;
import java.util.Map;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.RelayedState;
import org.ibissaddle.peer.ServiceLoad;

/**
 * A message between instances, encoded as JSON.
 *
 * @param sender the sender's state
 * @param others states of other instances that the sender knows of
 * @param knownRevision highest revision of the platform's store that the sender has seen
 * @param wantsChanges whether the sender cannot reach the platform and requests the changes that it missed
 * @param changes changes that the recipient has missed
 */
record PeerMessage(
        State sender, List<AgedState> others, long knownRevision, boolean wantsChanges, List<CatalogItem> changes) {
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
            boolean platformReachable,
            Map<String, ServiceLoad> services) {
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
                    state.revision(),
                    state.platformReachable(),
                    state.services());
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
                    revision,
                    platformReachable,
                    services == null ? Map.of() : services);
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
