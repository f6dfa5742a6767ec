package org.ibissaddle.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.daemon.timeline.TimelineRecorder;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.timeline.EventSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StatePublisherTest {
    private static final long NOW_MS = 1_000_000;
    private static final Address ADDRESS = new Address("127.0.0.1", 8100);
    private static final LocalInstance SELF = new LocalInstance(
            new InstanceId("a"), new Incarnation(1, 1), new Region("north"), new Zone("north-1"), ADDRESS, ADDRESS);

    private final SharedState state = new SharedState(
            new FleetView(
                    new InstanceView(
                            SELF.id(),
                            Optional.of(SELF.incarnation()),
                            SELF.region(),
                            SELF.zone(),
                            SELF.caller(),
                            SELF.control(),
                            Health.LIVE,
                            0,
                            0),
                    List.of(),
                    List.of(),
                    NOW_MS),
            new TimelineRecorder(
                    new EventSource(SELF.id(), SELF.incarnation(), SELF.region(), SELF.zone()), () -> NOW_MS));
    private final ControlLoop loop = ControlLoop.create(SELF, List.of(), new Random(1), NOW_MS);
    private final StatePublisher publisher = new StatePublisher(state);

    private void handle(ControlLoopEvent event) {
        loop.handle(event, NOW_MS);
        publisher.publish(loop, NOW_MS);
    }

    private static ControlLoopEvent note(long number, String pools) {
        return new ControlLoopEvent.ValueRead(
                "note", number, "[note]\nnumber = " + number + "\n[region north]\n" + pools);
    }

    private static ControlLoopEvent list() {
        ListEntry server = new ListEntry(
                "s1",
                ListEntry.Kind.SERVER,
                Optional.of(new PoolId("inspection")),
                SELF.region(),
                SELF.zone(),
                ADDRESS,
                Optional.empty(),
                false);
        return new ControlLoopEvent.ListRead(new FleetList(1, List.of(server)));
    }

    @Nested
    class Start {
        // Guards against an instance that reports ready and refuses the first requests because it knows no server.
        @Test
        void shouldPublishServersBeforeTheFirstNote() {
            handle(new ControlLoopEvent.Tick());
            handle(note(1, "[pool inspection]\nkind = model\nmodels = dossier@3\n"));
            handle(list());
            handle(new ControlLoopEvent.Tick());

            assertThat(state.note()).isPresent();
            assertThat(state.fleet().servers()).hasSize(1);
        }
    }

    @Nested
    class LaterNotes {
        @Test
        void shouldPublishDeclaredModelsWithTheNote() {
            handle(list());
            handle(note(1, ""));
            handle(new ControlLoopEvent.Tick());
            handle(note(2, "[pool inspection]\nkind = model\nmodels = dossier@3\n"));

            assertThat(state.note().orElseThrow().number()).isEqualTo(2);
            assertThat(state.fleet().servers().getFirst().models()).hasSize(1);
        }
    }
}
