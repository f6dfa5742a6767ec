package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Counts the calls to a store that has come back from an older copy, by the number of instances of a zone. */
@Tag("benchmark")
class StoreEraCallsTest {
    /** Time in which the instances elect their readers. */
    private static final long SETTLED_MS = 6_000;

    private static final long COUNTED_MS = 10_000;
    /** Rate of calls that the smallest deployment allows all instances together, per second. */
    private static final int MAX_CALLS_PER_S = 2_000;

    @ParameterizedTest
    @ValueSource(ints = {4, 30})
    void shouldCallTheStoreRarelyAfterItsReturn(int instances) throws Exception {
        List<Gateway> gateways = new ArrayList<>();
        try (FakePlatformStore platform = new FakePlatformStore()) {
            platform.put("op/config", "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{}}");
            int copy = platform.revision();
            for (int version = 2; version < 20; version++) {
                platform.put("op/config", "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"limits\":{}}");
            }
            Address seed = freeAddress();
            for (int i = 0; i < instances; i++) {
                Address peer = i == 0 ? seed : freeAddress();
                gateways.add(GatewayFixture.start(GatewayFixture.settings(
                        "north-" + i, "north", freeAddress(), freeAddress(), peer, List.of(seed), platform.address())));
            }
            Thread.sleep(SETTLED_MS);
            int lists = platform.lists();
            int watches = platform.watches();
            platform.restoreCopy(copy);
            platform.put("op/config", "{\"version\":20,\"routes\":[],\"services\":[],\"limits\":{}}");
            Thread.sleep(COUNTED_MS);
            lists = platform.lists() - lists;
            watches = platform.watches() - watches;
            System.out.println("event=store-era instances=" + instances + " lists=" + lists + " watches=" + watches
                    + " seconds=" + TimeUnit.MILLISECONDS.toSeconds(COUNTED_MS));
            assertThat(lists).isLessThan(MAX_CALLS_PER_S);
        } finally {
            gateways.forEach(Gateway::close);
        }
    }
}
