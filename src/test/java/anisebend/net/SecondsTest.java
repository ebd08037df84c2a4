package anisebend.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SecondsTest {
    @ParameterizedTest
    @CsvSource({
        "1, 0.001",
        "1000, 0.001",
        "1001, 0.002",
        "50000, 0.050",
        "999999, 1.000",
        "1000000, 1.000",
        "2030000, 2.030",
        "123456000, 123.456",
        "0, 0.001",
        "-5, 0.001"
    })
    void writesThreeDecimalsAndNeverZero(long micros, String text) {
        assertEquals(text, Seconds.of(micros));
    }
}
