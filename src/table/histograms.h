// All histograms: HISTOGRAM(name, help, upper bounds...). Included with different definitions of HISTOGRAM. The
// bounds are inclusive whole numbers in ascending order; values above the last fall into the "+Inf" bucket.
HISTOGRAM(syn_ack_time_ms, "milliseconds from forwarding a SYN to its SYN-ACK", 1, 2, 3, 5, 8, 12, 20, 50, 100, 200, 400, 800, 1600, 5000)
HISTOGRAM(packet_size_bytes, "bytes of inner packets received", 64, 128, 256, 512, 1024, 1280, 1500, 4096, 9000)
HISTOGRAM(batch_size_packets, "packets received in one batch", 1, 2, 4, 8, 16, 32, 64, 128, 256)
