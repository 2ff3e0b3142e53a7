/**
 * @file
 * Child processes, which are killed when the load tool ends for any reason.
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

/** Kills all children at exit and on SIGINT, SIGTERM and SIGHUP. */
void process_init(void);

/**
 * Starts a program whose output is appended to a file.
 * @param argv terminated by NULL
 * @return its process id
 */
pid_t process_start(const char *const *argv, const char *log_path);

/** Sends a signal to a child; SIGKILL also waits for its end. */
void process_signal(pid_t pid, int signal_number);

/** Kills all children and waits for their end. */
void process_finish(void);

/** Processor time of a process, 0 if it has ended. */
uint64_t process_cpu_us(pid_t pid);
/** Resident memory of a process, 0 if it has ended. */
uint64_t process_resident_kib(pid_t pid);

/** @return an unused loopback port below the ephemeral port range */
uint16_t process_free_port(void);

#endif
