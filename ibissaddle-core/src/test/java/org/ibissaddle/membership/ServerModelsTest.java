package org.ibissaddle.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The models that an instance assumes at a backend server. */
class ServerModelsTest {
    private static final long NOW_MS = 1_000_000;
    private static final Region REGION = new Region("r0");
    private static final Zone ZONE = new Zone("r0-z0");
    private static final Address ADDRESS = new Address("127.0.0.1", 8100);
    private static final Peer PEER = new Peer(Optional.of(new InstanceId("b")), new Address("127.0.0.1", 8101));
    private static final ServerId SERVER = new ServerId("s1");
    private static final Set<ModelId> DECLARED = Set.of(new ModelId("dossier", "3"), new ModelId("quick", "1"));

    private final ControlLoop loop = ControlLoop.create(
            new LocalInstance(new InstanceId("a"), new Incarnation(1, 1), REGION, ZONE, ADDRESS, ADDRESS),
            List.of(),
            new Random(1),
            NOW_MS);

    @BeforeEach
    void start() {
        loop.handle(new ControlLoopEvent.ValueRead("note", 1, ControlLoopTest.note(1)), NOW_MS);
        loop.handle(new ControlLoopEvent.ListRead(new FleetList(1, List.of(entry()))), NOW_MS);
    }

    private static ListEntry entry() {
        return new ListEntry(
                SERVER.name(),
                ListEntry.Kind.SERVER,
                Optional.of(new PoolId("inspection")),
                REGION,
                ZONE,
                ADDRESS,
                Optional.empty(),
                false);
    }

    private static Gossip gossip(List<Gossip.ServerUpdate> servers, List<Gossip.ServerLoadUpdate> loads) {
        return new Gossip(
                new Gossip.MemberUpdate(
                        new InstanceId("b"),
                        new Incarnation(1, 1),
                        0,
                        MemberState.ALIVE,
                        false,
                        REGION,
                        ZONE,
                        ADDRESS,
                        PEER.control()),
                new Gossip.DocumentVersion(1, "", 0),
                new Gossip.DocumentVersion(1, "", 0),
                0,
                List.of(),
                servers,
                loads,
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    private Set<ModelId> models() {
        return loop.view(NOW_MS).servers().getFirst().models();
    }

    // An instance that had just started refused requests, because it knew the load of a server but not its models.
    @Test
    void shouldBeTheDeclaredOnesWhenAPeerReportsOnlyTheLoad() {
        Gossip.ServerLoadUpdate load = new Gossip.ServerLoadUpdate(SERVER, 0, 1, 0, 0, 0, 1_000, 50);
        loop.handle(new ControlLoopEvent.Answered(PEER, gossip(List.of(), List.of(load))), NOW_MS);

        assertThat(models()).isEqualTo(DECLARED);
    }

    @Test
    void shouldBeTheReportedOnesWhenTheServerReportsNone() {
        ServerLoad load = new ServerLoad(NOW_MS, 0, 0, 0, 0, 1_000, 0.5);
        loop.handle(
                new ControlLoopEvent.Reported(
                        new ServerReport(SERVER, Optional.of(new Incarnation(1, 1)), load, Set.of(), Set.of(), false)),
                NOW_MS);

        assertThat(models()).isEmpty();
    }

    // A peer that didn't know the models of a server reported that it had none.
    @Test
    void shouldNotBeSentToPeersWhileTheyAreUnknown() {
        ListRequest request = new ListRequest(0, REGION, true);

        assertThat(loop.answer(request, NOW_MS).beliefs().orElseThrow().servers())
                .allMatch(update -> update.resident() == null);
    }
}
