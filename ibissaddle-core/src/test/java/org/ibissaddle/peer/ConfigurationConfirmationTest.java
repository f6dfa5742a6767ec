package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Test;

/** Tests when an instance that is partitioned from the store stops trusting its configuration. */
class ConfigurationConfirmationTest {
    private static final long MAX_AGE_MS = 5_000;
    private static final long REVISION = 8;

    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();

    private static PeerState instance(long revision, boolean reachesStore) {
        Address address = new Address("127.0.0.1", 1_000);
        return new PeerState(
                new InstanceId("south-1"),
                1,
                1,
                new Region("south"),
                new Zone("south-a"),
                address,
                address,
                true,
                false,
                new StoreVersion(0, revision),
                reachesStore,
                2,
                Map.of());
    }

    private boolean isConfirmedBy(PeerState sender, boolean hasAllChanges) {
        confirmation.recordMessage(sender, hasAllChanges, new StoreVersion(0, REVISION), 0);
        return confirmation.isRecent(MAX_AGE_MS, 0);
    }

    @Test
    void shouldBeUnconfirmedUntilTheFirstAnswer() {
        assertThat(confirmation.isRecent(MAX_AGE_MS, 0)).isFalse();
    }

    @Test
    void shouldEndAfterTheMaximumAge() {
        confirmation.recordStoreAnswer(1_000);

        assertThat(confirmation.isRecent(MAX_AGE_MS, 6_000)).isTrue();
        assertThat(confirmation.isRecent(MAX_AGE_MS, 6_001)).isFalse();
    }

    @Test
    void shouldBeConfirmedByAnInstanceThatReachesTheStoreAndKnowsNothingNewer() {
        assertThat(isConfirmedBy(instance(REVISION, true), false)).isTrue();
    }

    /** Guards against instances that confirm each other while all are partitioned from the store. */
    @Test
    void shouldNotBeConfirmedByAnInstanceThatIsPartitionedItself() {
        assertThat(isConfirmedBy(instance(REVISION, false), true)).isFalse();
    }

    /** Guards against a revoked key that stays valid although an instance has seen the revocation. */
    @Test
    void shouldNotBeConfirmedByAnInstanceThatKnowsMore() {
        assertThat(isConfirmedBy(instance(REVISION + 1, true), false)).isFalse();
    }

    /** Guards against lasting rejections when the later revision concerns nothing that instances exchange. */
    @Test
    void shouldBeConfirmedByAnAnswerThatBroughtAllMissingChanges() {
        assertThat(isConfirmedBy(instance(REVISION + 1, true), true)).isTrue();
    }

    /** Guards against a restarted instance that assumes that it reaches the store until a call fails. */
    @Test
    void shouldNotBeConfirmedByAnInstanceThatHasReadNothing() {
        assertThat(isConfirmedBy(instance(0, true), true)).isFalse();
    }
}
