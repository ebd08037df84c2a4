package gorsemast.lelystad;

import java.util.List;

/**
 * What a day came to. Times in microseconds.
 *
 * @param asked requests of clients
 * @param served of them
 * @param acks how long each order of the operator took to be acknowledged
 * @param readies how long each start of an edge took to be ready
 * @param again how long after the end of the closing fault a tenth of a second's requests were served again; -1 for none
 * @param edgeBytes that an edge sent over its links a second, on average
 * @param edgeRecords that it sent a second
 */
public record Outcome(int asked, int served, List<Long> acks, List<Long> readies, long again, double edgeBytes,
                      double edgeRecords) {
}
