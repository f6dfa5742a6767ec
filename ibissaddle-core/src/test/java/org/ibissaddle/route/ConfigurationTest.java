package org.ibissaddle.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Region;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationTest {
    private static Route route(String name, String prefix, RequestKind kind, boolean resumable) {
        return new Route(
                name,
                "Shop.example",
                prefix,
                kind,
                1_000,
                300,
                0,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
                2,
                resumable,
                Set.of(new Region("north")));
    }

    private final Configuration configuration = new Configuration(
            7,
            List.of(
                    route("short", "/lots/", RequestKind.IDEMPOTENT, false),
                    route("long", "/lots/old/", RequestKind.NON_IDEMPOTENT, false)),
            List.of(),
            CallerLimits.DEFAULT);

    @Nested
    class Routes {
        @Test
        void shouldPreferTheLongestPrefix() {
            assertThat(configuration.route("shop.example:80", "/lots/old/7"))
                    .map(Route::name)
                    .hasValue("long");
            assertThat(configuration.route("SHOP.EXAMPLE", "/lots/7"))
                    .map(Route::name)
                    .hasValue("short");
        }

        @Test
        void shouldNotMatchAnotherHostOrPath() {
            assertThat(configuration.route("other.example", "/lots/7")).isEmpty();
            assertThat(configuration.route("shop.example", "/lot")).isEmpty();
        }

        @Test
        void shouldAllowOnlyHomeRegions() {
            Route regional = configuration.route("shop.example", "/lots/").orElseThrow();

            assertThat(regional.allows(new Region("north"))).isTrue();
            assertThat(regional.allows(new Region("south"))).isFalse();
        }
    }

    @Nested
    class Retries {
        @Test
        void shouldRetryStreamsOnlyIfResumable() {
            assertThat(route("r", "/", RequestKind.STREAMING, false).isRetryable())
                    .isFalse();
            assertThat(route("r", "/", RequestKind.STREAMING, true).isRetryable())
                    .isTrue();
            assertThat(route("r", "/", RequestKind.NON_IDEMPOTENT, true).isRetryable())
                    .isFalse();
        }
    }

    @Nested
    class WeightedServices {
        @Test
        void shouldSelectServicesByWeightAndConsistentlyForTheSameRequest() {
            Route weighted = route("r", "/", RequestKind.IDEMPOTENT, false);
            int toA = 0;
            for (int i = 0; i < 10_000; i++) {
                String id = "request-" + i;
                assertThat(weighted.serviceFor(id)).isEqualTo(weighted.serviceFor(id));
                toA += weighted.serviceFor(id).equals("a") ? 1 : 0;
            }
            assertThat(toA).isBetween(8_800, 9_200);
        }
    }
}
