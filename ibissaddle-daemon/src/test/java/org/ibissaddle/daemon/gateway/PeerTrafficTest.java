package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.PeerTable;
import org.ibissaddle.peer.PeerUpdate;
import org.ibissaddle.peer.RelayedState;
import org.ibissaddle.peer.ServiceLoad;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Measures the bodies of the messages between the instances of an idle deployment of six zones in three regions. */
class PeerTrafficTest {
    private static final StoreVersion STORE = new StoreVersion(1, 12_345);
    private static final long ROUND_MS = 500;
    private static final int START_ROUNDS = 20;
    private static final int ROUNDS = 60;
    private static final double MEASURED_S = (ROUNDS - START_ROUNDS) * ROUND_MS / 1_000.0;

    private final SplittableRandom random = new SplittableRandom(7);
    private final JsonMapper mapper = JsonMapper.builder().build();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<Address, Instance> byAddress = new HashMap<>();
    private long totalBytes;
    private long bytesBetweenZones;

    private final class Instance {
        private final InstanceId id;
        private final Region region;
        private final Zone zone;
        private final Address address;
        private final PeerTable peers;
        private long sequence;

        Instance(int number) {
            int zoneNumber = number % 6;
            id = new InstanceId("node-%03d".formatted(number));
            region = new Region("region-" + zoneNumber / 2);
            zone = new Zone(region.name() + "-" + (char) ('a' + zoneNumber % 2));
            address = new Address("127.0.0.1", 10_000 + number);
            peers = new PeerTable(id, region, zone, true, 0);
        }

        private PeerState state(Region recipient) {
            Map<String, ServiceLoad> loads = new HashMap<>();
            if (!recipient.equals(region)) {
                for (String service : List.of("long-prompts", "short-prompts", "ledger-write", "ledger-read")) {
                    loads.put(service, new ServiceLoad(random.nextInt(500), random.nextInt(900)));
                }
            }
            return new PeerState(
                    id,
                    1_796_588_838_000L + address.port(),
                    sequence,
                    region,
                    zone,
                    address,
                    address,
                    true,
                    false,
                    STORE,
                    true,
                    peers.knownInstances(),
                    loads,
                    1,
                    false,
                    false);
        }

        void sendRound(long nowMs) throws JsonProcessingException {
            sequence++;
            for (Address target :
                    peers.targets(List.of(instances.getFirst().address), Optional.empty(), random, nowMs)) {
                Instance recipient = byAddress.get(target);
                if (recipient == this) {
                    continue;
                }
                PeerUpdate request = peers.request(Optional.of(recipient.region), random, nowMs);
                send(recipient, request, nowMs);
                recipient.send(this, recipient.peers.response(id, region, request.heartbeats(), random, nowMs), nowMs);
            }
        }

        private void send(Instance recipient, PeerUpdate update, long nowMs) throws JsonProcessingException {
            PeerState sent = state(recipient.region);
            PeerMessage message = new PeerMessage(
                    PeerMessage.State.of(sent),
                    List.of(),
                    STORE.revision(),
                    false,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    update.states().stream().map(PeerMessage.CompactState::of).toList(),
                    HeartbeatText.encode(update.heartbeats()),
                    update.loads().stream().map(PeerMessage.Load::of).toList(),
                    PeerMessage.Feed.of(STORE, STORE, new StoreVersion(1, 12_000), 0, false));
            int bytes = mapper.writeValueAsBytes(message).length;
            totalBytes += bytes;
            bytesBetweenZones += recipient.zone.equals(zone) ? 0 : bytes;
            recipient.peers.update(new RelayedState(sent, 0), nowMs);
            recipient.peers.apply(update, nowMs);
        }
    }

    /**
     * Before heartbeats, 88,500 and 88,800 bytes per second and instance were sent, 51,500 and 46,400 between zones.
     */
    @ParameterizedTest
    @CsvSource({"31, 18_000, 7_000", "122, 30_000, 3_000"})
    void shouldSendFewBytesWhileNothingChanges(String count, String maxBytesPerS, String maxBytesPerSBetweenZones)
            throws JsonProcessingException {
        int size = number(count);
        for (int n = 0; n < size; n++) {
            Instance instance = new Instance(n);
            instances.add(instance);
            byAddress.put(instance.address, instance);
        }
        for (int round = 0; round < ROUNDS; round++) {
            if (round == START_ROUNDS) {
                totalBytes = 0;
                bytesBetweenZones = 0;
            }
            for (Instance instance : instances) {
                instance.sendRound(round * ROUND_MS);
            }
        }

        assertThat(totalBytes / MEASURED_S / size).isLessThan(number(maxBytesPerS));
        assertThat(bytesBetweenZones / MEASURED_S / size).isLessThan(number(maxBytesPerSBetweenZones));
    }

    private static int number(String text) {
        return Integer.parseInt(text.replace("_", ""));
    }
}
