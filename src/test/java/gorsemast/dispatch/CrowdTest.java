package gorsemast.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What edges that share servers' connections come to, each by itself. */
class CrowdTest {
    private static List<String> names(String prefix, int count) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(prefix + i);
        }
        return all;
    }

    @Test
    void whereThereIsEnoughEachGoesToAll() {
        assertThat(new EdgeSharing(10, 7, 120, 1_000).serverCount()).isEqualTo(7);
        assertThat(EdgeSharing.fetcherCount(10, 120, 510)).isEqualTo(10);
    }

    @Test
    void noServerIsGivenMoreConnectionsThanItTakes() {
        for (int edges : new int[] {10, 85, 200, 500}) {
            for (int servers : new int[] {2, 9, 52}) {
                for (int most : new int[] {65, 120, 450}) {
                    EdgeSharing crowd = new EdgeSharing(edges, servers, most, 1_000);
                    Map<String, Integer> given = new HashMap<>();
                    for (String edge : names("10.1.0.", edges)) {
                        EdgeSharing.chosenServers(edge, names("i-", servers), crowd.serverCount())
                                .forEach(id -> given.merge(id, crowd.connectionShare(), Integer::sum));
                    }
                    double mean = given.values().stream()
                            .mapToInt(Integer::intValue)
                            .average()
                            .orElseThrow();
                    boolean enough = (double) servers * most >= (double) EdgeSharing.MIN_SERVERS * edges;
                    assertThat(mean)
                            .as(edges + " edges, " + servers + " servers of " + most)
                            .isLessThanOrEqualTo(enough ? most : Double.MAX_VALUE);
                }
            }
        }
    }

    @Test
    void fewSocketsOfTheOwnMeanFewServers() {
        assertThat(new EdgeSharing(65, 34, 450, 5).serverCount()).isEqualTo(5);
        assertThat(new EdgeSharing(65, 34, 450, 1).serverCount()).isEqualTo(EdgeSharing.MIN_SERVERS);
        assertThat(new EdgeSharing(1, 1, 1, 1).serverCount()).isEqualTo(1);
    }

    @Test
    void thoseThatFetchAreFewWhereConnectionsOrRateAre() {
        assertThat(EdgeSharing.fetcherCount(85, 65, 180))
                .as("every edge for itself")
                .isEqualTo(85);
        assertThat(EdgeSharing.fetcherCount(85, 65, 30)).as("one a second each").isEqualTo(30);
        assertThat(EdgeSharing.fetcherCount(85, 20, 1_000))
                .as("two to a connection")
                .isEqualTo(40);
        assertThat(EdgeSharing.fetcherCount(1, 1, 1)).isEqualTo(1);
        assertThat(EdgeSharing.fetcherCount(85, Integer.MAX_VALUE, Double.POSITIVE_INFINITY))
                .isEqualTo(85);
    }

    @Test
    void aServerThatLeavesMovesNothingElse() {
        List<String> servers = names("i-", 40);
        List<String> before = EdgeSharing.chosenServers("edge", servers, 8);
        servers.remove(before.get(3));
        List<String> after = EdgeSharing.chosenServers("edge", servers, 8);
        assertThat(after)
                .containsAll(before.stream().filter(servers::contains).toList())
                .hasSize(8);
    }
}
