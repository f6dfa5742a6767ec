package org.ibissaddle.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import javax.net.SocketFactory;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlHttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.ControlLoopEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one odd entry of the list that hides all others. */
class PlatformClientTest {
    private static final String SERVER = """
            {"name":"s%d","kind":"server","pool":"engines","region":"north","zone":"north-a",
             "address":"127.0.0.1:%s","state":"live"}""";

    private static ControlLoopEvent read(String list) throws IOException {
        HttpServer platform = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        platform.createContext("/instances", exchange -> {
            byte[] body = list.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        platform.start();
        try (ControlHttpClient http = new ControlHttpClient(SocketFactory.getDefault())) {
            Address address = new Address("127.0.0.1", platform.getAddress().getPort());
            return new PlatformClient(http, List.of(address), new EventLog("north-1")).readInstanceList(0, 0);
        } finally {
            platform.stop(0);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"name\":\"odd\",\"kind\":\"server\",\"region\":\"north\",\"zone\":\"a\",\"address\":\"127.0.0.1:99999\"}",
                "{\"name\":\"odd\",\"kind\":\"server\",\"region\":\"north\",\"zone\":\"a\",\"address\":[[[[[[1]]]]]]}",
                "{\"name\":\"odd\",\"kind\":\"server\",\"region\":5,\"zone\":\"\",\"address\":\"127.0.0.1:1\"}",
                "{\"name\":\"\",\"kind\":\"server\",\"region\":\"north\",\"zone\":\"a\",\"address\":\"127.0.0.1:1\"}",
                "{\"name\":\"odd\",\"kind\":\"server\",\"region\":\"north\",\"zone\":\"a\",\"address\":\"127.0.0.1:1\"}",
                "{\"name\":\"odd\",\"kind\":\"instance\",\"region\":\"north\",\"zone\":\"a\",\"address\":\"127.0.0.1:1\"}",
                "{}",
                "7",
                "null"
            })
    void shouldReadTheOtherEntriesOfAList(String odd) throws IOException {
        String list = "{\"revision\":7,\"entries\":[" + SERVER.formatted(1, "81") + "," + odd + ","
                + SERVER.formatted(2, "82") + "]}";

        assertThat(read(list)).isInstanceOfSatisfying(ControlLoopEvent.ListRead.class, read -> {
            assertThat(read.list().revision()).isEqualTo(7);
            assertThat(read.list().entries()).extracting(entry -> entry.name()).containsExactly("s1", "s2");
        });
    }
}
