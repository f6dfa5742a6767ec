package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load pattern: 20 idle instances of a zone that all watch the same store. */
class StoreReaderElectionTest {
    private static final Zone ZONE = new Zone("north-a");
    private static final long NOW_MS = 10_000;
    /** Maximum silence of the readers, with jitter. */
    private static final long MAX_SILENCE_MS = 2_000;

    private final List<Member> members = new ArrayList<>();

    private enum Access {
        READS,
        FOLLOWS,
        FAILS
    }

    private static final class Member {
        private final InstanceId id;
        private final StoreReaderElection election;
        private Access access = Access.READS;
        private boolean draining;

        Member(InstanceId id) {
            this.id = id;
            this.election = new StoreReaderElection(id, ZONE, 0);
            election.recordReader(NOW_MS);
        }

        PeerState state() {
            Address address = new Address("10.0.0.1", 1_000);
            return new PeerState(
                    id,
                    1,
                    1,
                    new Region("north"),
                    ZONE,
                    address,
                    address,
                    true,
                    draining,
                    new StoreVersion(0, 1),
                    access == Access.READS,
                    0,
                    Map.of(),
                    1,
                    access == Access.FOLLOWS,
                    false);
        }
    }

    @BeforeEach
    void start() {
        for (int i = 0; i < 20; i++) {
            members.add(new Member(new InstanceId("i" + i)));
        }
        settle();
    }

    private void settle() {
        for (Member member : members) {
            if (member.access != Access.FAILS) {
                member.access = reads(member, NOW_MS) ? Access.READS : Access.FOLLOWS;
            }
        }
    }

    private List<PeerState> others(Member self) {
        return members.stream()
                .filter(member -> member != self)
                .map(Member::state)
                .toList();
    }

    private boolean reads(Member member, long nowMs) {
        return member.election.readsStore(others(member), nowMs);
    }

    private List<Member> reading() {
        return members.stream().filter(member -> member.access == Access.READS).toList();
    }

    @Test
    void shouldElectTwoReadersOfWhichOnePushes() {
        assertThat(reading()).hasSize(2);
        assertThat(members.stream().filter(member -> member.election.pushesChanges(others(member))))
                .hasSize(1)
                .allSatisfy(member -> assertThat(member.access).isEqualTo(Access.READS));
        Member follower = members.stream()
                .filter(member -> member.access == Access.FOLLOWS)
                .findFirst()
                .orElseThrow();
        assertThat(follower.election.readers(others(follower)))
                .extracting(PeerState::id)
                .containsExactlyInAnyOrderElementsOf(
                        reading().stream().map(member -> member.id).toList());
    }

    @Nested
    class Replacement {
        // The zone would learn of no change until the silence of the reader is noticed.
        @Test
        void shouldReplaceAReaderThatIsCutOffFromTheStore() {
            reading().getFirst().access = Access.FAILS;
            settle();

            assertThat(reading()).hasSize(2);
        }

        @Test
        void shouldReplaceReadersThatStopOrDrain() {
            members.remove(reading().getFirst());
            reading().getFirst().draining = true;
            settle();

            assertThat(reading()).filteredOn(member -> !member.draining).hasSize(2);
        }

        // Instances that follow have not tried the store; they must not be taken for cut off.
        @Test
        void shouldElectFollowersWhenAllReadersFail() {
            reading().forEach(member -> member.access = Access.FAILS);
            settle();

            assertThat(reading()).hasSize(2);
        }
    }

    @Nested
    class Doubt {
        // A pushed change and a removal of a server would be missed while both readers are dead but listed.
        @Test
        void shouldReadAtAnyInstanceThatHearsFromNoReader() {
            assertThat(members).allMatch(member -> reads(member, NOW_MS + MAX_SILENCE_MS));
        }

        // All instances of all zones would call the store at the same moment.
        @Test
        void shouldSpreadTheCallsAfterSilence() {
            long early = members.stream()
                    .filter(member -> reads(member, NOW_MS + 1_500))
                    .count();
            long half = members.stream()
                    .filter(member -> reads(member, NOW_MS + 1_750))
                    .count();

            assertThat(early).isEqualTo(2);
            assertThat(half).isBetween(5L, 15L);
        }

        // A process that has just started doesn't know the other instances of its zone.
        @Test
        void shouldReadAfterTheStart() {
            assertThat(members).allMatch(member -> reads(member, 2_999));
        }

        @Test
        void shouldReadInASmallZone() {
            members.subList(3, members.size()).clear();

            assertThat(members).allMatch(member -> reads(member, NOW_MS));
            assertThat(members).noneMatch(member -> member.election.pushesChanges(others(member)));
        }
    }
}
