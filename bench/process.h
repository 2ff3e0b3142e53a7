/**
 * @file
 * Child processes that never outlive the load tool.
 */
#ifndef BENCH_PROCESS_H
#define BENCH_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

/** Ends all children at exit, also after SIGINT and SIGTERM. */
void process_init(void);

/**
 * Starts a program with its output in a file.
 * @param argv closed by NULL
 * @return its pid
 */
pid_t process_start(const char *const *argv, const char *log_path);

/** Sends a signal; SIGKILL also collects the child. */
void process_signal(pid_t pid, int signal_number);

/** Kills and collects all children. */
void process_finish(void);

/** Processor time of a process, or 0 if it is gone. */
uint64_t process_cpu_us(pid_t pid);
/** Resident memory of a process in kibibytes, or 0 if it is gone. */
uint64_t process_resident_kib(pid_t pid);

/** @return a loopback port below the ephemeral ones that is free now */
uint16_t process_free_port(void);

#endif
