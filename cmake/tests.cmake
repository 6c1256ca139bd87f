# Fakes, tests, benchmarks and samples.
add_library(bramleygrade_fakes STATIC
    testing/cell_fake.cpp
    testing/cell_fake_workers.cpp
    testing/history.cpp
    testing/history_faults.cpp
    testing/history_checks.cpp
    testing/table_fake.cpp
    testing/worker_fake.cpp)
target_include_directories(bramleygrade_fakes PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(bramleygrade_fakes PUBLIC bramleygrade_core)
foreach(standin platform worker)
    add_executable(${standin}_standin testing/${standin}_standin.cpp)
    target_link_libraries(${standin}_standin PRIVATE bramleygrade_fakes PkgConfig::HTTPLIB absl::flags
                          absl::flags_parse absl::strings Threads::Threads)
endforeach()

add_executable(load bench/load.cpp)
target_link_libraries(load PRIVATE PkgConfig::HTTPLIB absl::flags absl::flags_parse absl::strings
                      Threads::Threads)

add_executable(histories testing/histories.cpp)
target_link_libraries(histories PRIVATE bramleygrade_fakes absl::flags absl::flags_parse)

enable_testing()
# Linked, as the header-only variant is compiled and linted again with each test.
set(Boost_USE_STATIC_LIBS ON)
find_package(Boost REQUIRED COMPONENTS unit_test_framework)
foreach(unit json_codec settings authority request_home request_queue worker_pool cell_view documents
             task_owner)
    add_executable(${unit}_test test/${unit}_test.cpp)
    target_include_directories(${unit}_test PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${unit}_test PRIVATE bramleygrade_daemon Boost::unit_test_framework)
    add_test(NAME ${unit} COMMAND ${unit}_test)
endforeach()

add_executable(jobs_test test/jobs_test.cpp)
target_link_libraries(jobs_test PRIVATE bramleygrade_fakes Boost::unit_test_framework)
add_test(NAME jobs COMMAND jobs_test)

# 10,000 randomised histories in virtual time; the fixed seeds make the result reproducible.
foreach(part RANGE 0 7)
    math(EXPR first "${part} * 1250 + 1")
    add_test(NAME histories_from_${first} COMMAND histories --first ${first} --count 1250
                     --known_red ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    set_tests_properties(histories_from_${first} PROPERTIES COST 1000)
endforeach()

add_test(NAME process_failures
         COMMAND ${CMAKE_SOURCE_DIR}/test/process_failures.sh ${CMAKE_BINARY_DIR})
add_test(NAME bad_input COMMAND ${CMAKE_SOURCE_DIR}/test/bad_input.sh ${CMAKE_BINARY_DIR})
set_tests_properties(process_failures bad_input PROPERTIES RUN_SERIAL TRUE COST 1)

find_package(benchmark REQUIRED)
add_executable(outcomes bench/outcomes.cpp bench/baselines.cpp bench/offered_load.cpp
                        bench/packing.cpp)
target_link_libraries(outcomes PRIVATE bramleygrade_fakes absl::flags absl::flags_parse)
add_executable(decision_cost bench/decision_cost.cpp)
target_include_directories(decision_cost PRIVATE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(decision_cost PRIVATE bramleygrade_core benchmark::benchmark)
add_executable(cell_decision_cost bench/cell_decision_cost.cpp)
target_include_directories(cell_decision_cost PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(cell_decision_cost PRIVATE bramleygrade_entry benchmark::benchmark)
add_executable(control_cost bench/control_cost.cpp)
target_link_libraries(control_cost PRIVATE bramleygrade_fakes)

add_executable(embed_core samples/embed_core.cpp)
target_link_libraries(embed_core PRIVATE bramleygrade_core)
add_executable(virtual_cell samples/virtual_cell.cpp)
target_link_libraries(virtual_cell PRIVATE bramleygrade_fakes)
add_test(NAME sample_embed_core COMMAND embed_core)
add_test(NAME sample_virtual_cell COMMAND virtual_cell)


# Unit tests of the cell scheduler and its formats, and randomised histories in virtual time.
foreach(unit admission advice_dispatch advice_use caller_keys changing_capacity claim_order entry handover http_client ip_endpoint job_sizes late_orders_of_unseen_lives life_without_fence membership observation
             placement_round restarted_worker_cut_off run_times runs_of_unseen_lives scheduler scheduler_admission storing rows takeover team_caps team_shares
             team_takeover uneven_workers waiting_jobs watches worker_loss worker_speeds writes)
    add_executable(cell_${unit}_test test/cell/${unit}_test.cpp)
    target_include_directories(cell_${unit}_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
    target_link_libraries(cell_${unit}_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
    add_test(NAME cell_${unit} COMMAND cell_${unit}_test)
endforeach()

# Starts whose outcome is in doubt. One failure is a test of its own, as KNOWN-RED.txt lists it.
add_executable(cell_doubtful_starts_test test/cell/doubtful_starts_test.cpp)
target_include_directories(cell_doubtful_starts_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_doubtful_starts_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
set(predecessor_failure twice_predecessor_in_the_cut_zone_sends_starts_until_its_confirmation_times_out)
add_test(NAME cell_doubtful_starts
         COMMAND cell_doubtful_starts_test --run_test=!${predecessor_failure})
add_test(NAME ${predecessor_failure}
         COMMAND cell_doubtful_starts_test --run_test=${predecessor_failure})

# Lives of workers that nothing shows. One failure is a test of its own, as KNOWN-RED.txt lists it.
add_executable(cell_lives_that_nothing_shows_test test/cell/lives_that_nothing_shows_test.cpp)
target_include_directories(cell_lives_that_nothing_shows_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_lives_that_nothing_shows_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
set(successor_failure twice_successor_of_a_scheduler_whose_order_a_life_that_nothing_shows_has_taken)
add_test(NAME cell_lives_that_nothing_shows
         COMMAND cell_lives_that_nothing_shows_test --run_test=!${successor_failure})
add_test(NAME ${successor_failure}
         COMMAND cell_lives_that_nothing_shows_test --run_test=${successor_failure})

# Units that drive the scheduler against simulated workers.
foreach(unit ends_in_pages lasting_tasks open_occurrences pending_jobs unplaceable_gangs unwanted_runs)
    add_executable(cell_${unit}_test test/cell/${unit}_test.cpp testing/cell/simulated_worker.cpp)
    target_include_directories(cell_${unit}_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
    target_link_libraries(cell_${unit}_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
    add_test(NAME cell_${unit} COMMAND cell_${unit}_test)
endforeach()

add_executable(explain_test test/cell/explain_test.cpp src/tools/explain.cpp)
target_link_libraries(explain_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME explain COMMAND explain_test)

add_executable(cell_cluster_test test/cell/cluster_test.cpp testing/cell/memory_table.cpp)
target_include_directories(cell_cluster_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_cluster_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME cell_cluster COMMAND cell_cluster_test)

# Input that is nested deeply, also with an entry on the loopback interface.
add_executable(cell_deep_input_test test/cell/deep_input_test.cpp testing/cell/memory_table.cpp)
target_include_directories(cell_deep_input_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_deep_input_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME cell_deep_input COMMAND cell_deep_input_test)

# A cell of production size under its peak load. Call counts decide; the load is paced in real time.
add_executable(cell_overloaded_scheduler_test test/cell/overloaded_scheduler_test.cpp
                                              testing/cell/memory_table.cpp
                                              testing/cell/simulated_worker.cpp)
target_include_directories(cell_overloaded_scheduler_test PRIVATE ${CMAKE_SOURCE_DIR}
                                                                  ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_overloaded_scheduler_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
foreach(failure lost_overloaded_scheduler lost_scheduler_busy_queueing_advice lost_nameless_member)
    add_test(NAME ${failure} COMMAND cell_overloaded_scheduler_test --run_test=${failure})
    set_tests_properties(${failure} PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()

add_executable(cell_restarted_workers_cluster_test test/cell/restarted_workers_cluster_test.cpp
                                                   testing/cell/memory_table.cpp
                                                   testing/cell/simulated_worker.cpp)
target_include_directories(cell_restarted_workers_cluster_test PRIVATE ${CMAKE_SOURCE_DIR}
                                                                       ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_restarted_workers_cluster_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME twice_workers_restart_around_a_takeover COMMAND cell_restarted_workers_cluster_test)
set_tests_properties(twice_workers_restart_around_a_takeover PROPERTIES RUN_SERIAL TRUE COST 1)

# A scheduler that was paused and may have been replaced meanwhile.
add_executable(cell_confirmation_test test/cell/confirmation_test.cpp)
target_include_directories(cell_confirmation_test PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(cell_confirmation_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
foreach(failure twice_orders_of_a_scheduler_that_was_paused
                twice_answers_to_questions_from_before_a_pause
                twice_verification_by_some_members_only lost_verification_beside_silent_members
                twice_scheduler_goes_on_with_a_minority_of_the_entries
                twice_scheduler_forgets_the_entries_that_it_cannot_reach
                twice_successor_with_a_minority_takes_its_predecessor_for_ended
                predecessors_are_over_when_the_entries_that_may_follow_them_are_forgotten
                replies_of_all_entries_or_a_write_prove_that_there_is_no_successor
                twice_orders_after_a_worker_has_seen_a_newer_token
                twice_held_start_that_is_sent_for_a_former_life)
    add_test(NAME ${failure} COMMAND cell_confirmation_test --run_test=${failure})
endforeach()

# Calls that one entry forwards to the scheduler; each failure is a test of its own.
add_executable(cell_forwarding_test test/cell/forwarding_test.cpp testing/cell/memory_table.cpp)
target_include_directories(cell_forwarding_test PRIVATE ${CMAKE_SOURCE_DIR}
                                                        ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_forwarding_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME cell_forwarding COMMAND cell_forwarding_test "--run_test=!lost_*")
foreach(failure lost_answer_on_a_silent_connection lost_answer_while_no_scheduler_answers
                lost_answer_while_the_rows_are_loaded lost_job_accepted_by_a_successor)
    add_test(NAME ${failure} COMMAND cell_forwarding_test --run_test=${failure})
endforeach()

# The entries as processes of their own, among failing links.
add_executable(soak testing/soak/cell_world.cpp testing/soak/checks.cpp testing/soak/main.cpp
                    testing/soak/peer_links.cpp testing/soak/record.cpp testing/soak/recut.cpp
                    testing/soak/soak.cpp testing/soak/table_store.cpp testing/soak/worker.cpp)
target_link_libraries(soak PRIVATE absl::strings bramleygrade_entry)
add_test(NAME soak_of_fixed_seeds
         COMMAND ${CMAKE_SOURCE_DIR}/testing/soak/run_seeds.sh $<TARGET_FILE:bramleygrade>
                 $<TARGET_FILE:soak> ${CMAKE_BINARY_DIR}/soak-runs 20 11 15)
set_tests_properties(soak_of_fixed_seeds PROPERTIES RUN_SERIAL TRUE COST 1)
# Tasks run twice: new lives of workers carry out late starts and are cut off.
add_test(NAME twice_recut_of_real_processes
         COMMAND ${CMAKE_SOURCE_DIR}/testing/soak/run.sh $<TARGET_FILE:bramleygrade>
                 $<TARGET_FILE:soak> 120 19 ${CMAKE_BINARY_DIR}/soak-runs/recut recut 1500)
set_tests_properties(twice_recut_of_real_processes PROPERTIES RUN_SERIAL TRUE COST 1)
# Tasks run twice: a life that no beat and no answer shows carries out a start and is cut off.
add_test(NAME twice_lives_that_nothing_shows_of_real_processes
         COMMAND ${CMAKE_SOURCE_DIR}/testing/soak/run.sh $<TARGET_FILE:bramleygrade>
                 $<TARGET_FILE:soak> 232 19 ${CMAKE_BINARY_DIR}/soak-runs/unseen recut 0 held unlisted
                 mute-long)
set_tests_properties(twice_lives_that_nothing_shows_of_real_processes
                     PROPERTIES RUN_SERIAL TRUE COST 1)

add_executable(platform_formats_test platform/test/formats_test.cpp)
target_link_libraries(platform_formats_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME platform_formats COMMAND platform_formats_test)

add_executable(platform_configuration_test platform/test/configuration_test.cpp)
target_link_libraries(platform_configuration_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME platform_configuration COMMAND platform_configuration_test)

add_executable(platform_worker_calls_test platform/test/worker_calls_test.cpp)
target_link_libraries(platform_worker_calls_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME platform_worker_calls COMMAND platform_worker_calls_test)
foreach(failure twice_acknowledgement_on_another_connection twice_start_sent_after_a_pause
                twice_acknowledgement_on_the_connection_of_a_start)
    add_test(NAME ${failure} COMMAND platform_worker_calls_test --run_test=${failure})
endforeach()

add_executable(cell_histories testing/cell/cell_history.cpp testing/cell/histories_main.cpp
                              testing/cell/crashing_tasks.cpp testing/cell/history_events.cpp
                              testing/cell/history_teams.cpp
                              testing/cell/history_workers.cpp testing/cell/simulated_worker.cpp)
target_include_directories(cell_histories PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(cell_histories PRIVATE bramleygrade_entry)
foreach(part RANGE 0 3)
    math(EXPR first "${part} * 500 + 1")
    add_test(NAME cell_histories_from_${first} COMMAND cell_histories ${first} 500)
    set_tests_properties(cell_histories_from_${first} PROPERTIES COST 500)
endforeach()

# Wide gangs on a deployment of 350 workers, in virtual time.
add_library(cell_load_simulation STATIC testing/cell/load_presets.cpp testing/cell/load_simulation.cpp)
target_include_directories(cell_load_simulation PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(cell_load_simulation PUBLIC bramleygrade_cell)
add_executable(cell_loads testing/cell/loads_main.cpp)
target_link_libraries(cell_loads PRIVATE cell_load_simulation)
add_executable(short_wide_steps_test test/cell/short_wide_steps_test.cpp)
target_link_libraries(short_wide_steps_test PRIVATE cell_load_simulation Boost::unit_test_framework)
add_test(NAME short_wide_steps COMMAND short_wide_steps_test)
add_executable(short_largest_gangs_test test/cell/short_largest_gangs_test.cpp)
target_link_libraries(short_largest_gangs_test PRIVATE cell_load_simulation Boost::unit_test_framework)
set(number 0)
foreach(seed 2 5 6 8)
    add_test(NAME short_largest_gangs_seed_${seed}
             COMMAND short_largest_gangs_test
                     --run_test=short_largest_gangs_served_less_than_half_as_often/_${number})
    math(EXPR number "${number} + 1")
endforeach()
add_executable(short_gangs_at_peak_test test/cell/short_gangs_at_peak_test.cpp)
target_link_libraries(short_gangs_at_peak_test PRIVATE cell_load_simulation Boost::unit_test_framework)
foreach(failure short_gangs_whose_answers_expire_before_there_is_room
                short_batches_wait_for_an_adviser_that_gangs_keep_busy)
    add_test(NAME ${failure} COMMAND short_gangs_at_peak_test --run_test=${failure})
endforeach()
add_executable(uneven_speeds_test test/cell/uneven_speeds_test.cpp)
target_link_libraries(uneven_speeds_test PRIVATE cell_load_simulation Boost::unit_test_framework)
foreach(part like_workers_are_served_as_before uneven_workers_throw_away_half_of_the_work)
    add_test(NAME uneven_speeds_${part} COMMAND uneven_speeds_test --run_test=${part})
    set_tests_properties(uneven_speeds_${part} PROPERTIES COST 30)
endforeach()
add_executable(team_loads_test test/cell/team_loads_test.cpp)
target_link_libraries(team_loads_test PRIVATE cell_load_simulation Boost::unit_test_framework)
foreach(load nineteen_teams_lose_nothing_to_the_twentieth
             bursts_of_all_teams_cost_no_more_than_without_teams
             all_teams_burst_and_none_is_starved)
    add_test(NAME team_${load} COMMAND team_loads_test --run_test=${load})
endforeach()
add_test(NAME cell_histories_of_takeovers COMMAND cell_histories 1 8 takeovers)
set_tests_properties(cell_histories_of_takeovers PROPERTIES COST 500)
add_test(NAME cell_histories_of_capacity_changes COMMAND cell_histories 1 200 capacity)
set_tests_properties(cell_histories_of_capacity_changes PROPERTIES COST 500)
add_test(NAME cell_histories_of_teams COMMAND cell_histories 1 500 teams)
set_tests_properties(cell_histories_of_teams PROPERTIES COST 500)
add_test(NAME cell_histories_of_crashes_at_takeovers COMMAND cell_histories 1 1 takeovers crashes)

add_executable(cell_advice_clients_test test/cell/advice_clients_test.cpp)
target_link_libraries(cell_advice_clients_test PRIVATE bramleygrade_cell Boost::unit_test_framework)
add_test(NAME cell_advice_clients COMMAND cell_advice_clients_test)

add_executable(cell_crash_attribution_test test/cell/crash_attribution_test.cpp)
target_include_directories(cell_crash_attribution_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_crash_attribution_test PRIVATE bramleygrade_cell Boost::unit_test_framework)
add_test(NAME budget_crashing_tasks COMMAND cell_crash_attribution_test)
# Workers that start again under their ids; each failure is a test of its own.
add_executable(cell_worker_restart_test test/cell/worker_restart_test.cpp)
target_include_directories(cell_worker_restart_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_worker_restart_test PRIVATE bramleygrade_cell Boost::unit_test_framework)
foreach(failure twice_end_of_a_restarted_worker twice_acknowledgement_for_a_former_life
                twice_late_answer_of_a_former_life budget_crashes_of_one_worker
                limit_restarted_worker_of_another_kind twice_start_on_its_way_to_a_restarted_worker
                budget_crash_of_a_restarted_worker_around_a_takeover
                twice_life_of_a_worker_without_a_later_start_time
                twice_life_that_a_replaced_scheduler_uses)
    add_test(NAME ${failure} COMMAND cell_worker_restart_test --run_test=${failure})
endforeach()
add_test(NAME cell_histories_of_restarts COMMAND cell_histories 1 300 restarts)
add_test(NAME cell_histories_of_restarts_from_256 COMMAND cell_histories 256 76 restarts)
add_test(NAME cell_histories_of_restarts_to_180 COMMAND cell_histories 1 180 restarts)
add_test(NAME cell_histories_of_restarts_from_326 COMMAND cell_histories 326 277 restarts)
# The same without the seeds that KNOWN-RED.txt lists or has listed.
add_test(NAME cell_histories_of_restarts_from_265 COMMAND cell_histories 265 1 restarts)
add_test(NAME cell_histories_of_restarts_from_267 COMMAND cell_histories 267 59 restarts)
add_test(NAME cell_histories_of_restarts_from_332 COMMAND cell_histories 332 112 restarts)
add_test(NAME cell_histories_of_restarts_from_89 COMMAND cell_histories 89 175 restarts)
add_test(NAME cell_histories_of_restarts_to_87 COMMAND cell_histories 1 87 restarts)
add_test(NAME cell_histories_of_restarts_from_318 COMMAND cell_histories 318 14 restarts)
add_test(NAME cell_histories_of_restarts_to_316 COMMAND cell_histories 267 50 restarts)
add_test(NAME cell_histories_of_restarts_to_458 COMMAND cell_histories 445 14 restarts)
add_test(NAME cell_histories_of_restarts_from_445 COMMAND cell_histories 445 17 restarts)
add_test(NAME cell_histories_of_restarts_from_463 COMMAND cell_histories 463 140 restarts)
add_test(NAME cell_histories_of_restarts_to_264 COMMAND cell_histories 1 264 restarts)
add_test(NAME cell_histories_of_restarts_from_266 COMMAND cell_histories 266 21 restarts)
add_test(NAME cell_histories_of_restarts_from_288 COMMAND cell_histories 288 44 restarts)
set_tests_properties(cell_histories_of_restarts cell_histories_of_restarts_from_256
                     cell_histories_of_restarts_to_180 cell_histories_of_restarts_from_326
                     cell_histories_of_restarts_to_264
                     PROPERTIES COST 500)

# Workers that start again under their ids and are cut off soon after, as in issue 56.
add_test(NAME cell_histories_of_recuts COMMAND cell_histories 1 100 recuts)
add_test(NAME cell_histories_of_late_recuts COMMAND cell_histories 1 100 late-recuts)
# The same where nothing shows that the workers have started again, as in issue 59.
add_test(NAME cell_histories_of_hidden_recuts COMMAND cell_histories 1 100 hidden-recuts)
set_tests_properties(cell_histories_of_recuts cell_histories_of_late_recuts
                     cell_histories_of_hidden_recuts PROPERTIES COST 500)

# Jobs whose tasks crash the workers that start them.
add_test(NAME cell_histories_of_crashing_tasks COMMAND cell_histories 1 400 deadly)
set_tests_properties(cell_histories_of_crashing_tasks PROPERTIES COST 500)
add_test(NAME budget_count_lost_at_takeovers COMMAND cell_histories 70 1 deadly)

# Interference between tasks: what is learned, and what it changes in the placement.
add_executable(cell_interference_test test/cell/interference_test.cpp)
target_link_libraries(cell_interference_test PRIVATE bramleygrade_cell Boost::unit_test_framework)
add_test(NAME cell_interference COMMAND cell_interference_test)
add_executable(cell_clashing_placement_test test/cell/clashing_placement_test.cpp)
target_include_directories(cell_clashing_placement_test PRIVATE ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_clashing_placement_test PRIVATE cell_load_simulation Boost::unit_test_framework)
add_test(NAME cell_clashing_placement COMMAND cell_clashing_placement_test)

add_executable(platform_config_check_test platform/test/config_check_test.cpp src/tools/check_config.cpp)
target_link_libraries(platform_config_check_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME platform_config_check COMMAND platform_config_check_test)

# Several entries, one of them cut off from the configuration in one way or another, in real time.
add_executable(cell_keys_cluster_test test/cell/keys_cluster_test.cpp testing/cell/memory_table.cpp)
target_include_directories(cell_keys_cluster_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_keys_cluster_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
add_test(NAME cell_keys_cluster COMMAND cell_keys_cluster_test)
set_tests_properties(cell_keys_cluster PROPERTIES RUN_SERIAL TRUE COST 1)

# Entries on slow links, in real time; each failure is a test of its own.
add_executable(cell_slow_links_cluster_test test/cell/slow_links_cluster_test.cpp testing/cell/memory_table.cpp
                                            testing/cell/throttled_link.cpp)
target_include_directories(cell_slow_links_cluster_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_slow_links_cluster_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
foreach(failure lost_entries_that_never_complete_a_large_configuration
                lost_answers_of_entries_behind_a_large_configuration
                lost_links_filled_by_heartbeats_that_name_idle_queues
                lost_entries_that_get_a_large_configuration_only_from_peers
                lost_entries_that_wait_for_a_store_that_trickles)
    add_test(NAME ${failure} COMMAND cell_slow_links_cluster_test --run_test=${failure})
    set_tests_properties(${failure} PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()

# Takeovers by entries on slow links, in real time.
add_executable(cell_slow_takeover_cluster_test test/cell/slow_takeover_cluster_test.cpp
                                               testing/cell/memory_table.cpp testing/cell/throttled_link.cpp)
target_include_directories(cell_slow_takeover_cluster_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_slow_takeover_cluster_test PRIVATE bramleygrade_platform Boost::unit_test_framework)
foreach(failure lost_leadership_of_entries_that_load_many_rows_over_slow_links)
    add_test(NAME ${failure} COMMAND cell_slow_takeover_cluster_test --run_test=${failure})
    set_tests_properties(${failure} PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()

# Processes that run out of descriptors.
add_executable(cell_connection_limits_test test/cell/connection_limits_test.cpp)
target_link_libraries(cell_connection_limits_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
add_test(NAME cell_connection_limits COMMAND cell_connection_limits_test)

# Hostile clients of an entry process; each failure is a test of its own.
add_executable(cell_hostile_clients_test test/cell/hostile_clients_test.cpp)
target_include_directories(cell_hostile_clients_test PRIVATE ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_hostile_clients_test PRIVATE Boost::unit_test_framework)
foreach(failure memory_filled_by_requests_that_never_end memory_filled_by_requests_of_many_values
                descriptors_taken_by_idle_connections)
    add_test(NAME ${failure}
             COMMAND cell_hostile_clients_test --run_test=${failure} -- $<TARGET_FILE:bramleygrade>)
    set_tests_properties(${failure} PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()

add_executable(cell_http_server_test test/cell/http_server_test.cpp)
target_link_libraries(cell_http_server_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
add_test(NAME cell_http_server COMMAND cell_http_server_test)
add_executable(cell_client_limits_test test/cell/client_limits_test.cpp)
target_link_libraries(cell_client_limits_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
add_test(NAME cell_client_limits COMMAND cell_client_limits_test)

# The real program against a store and workers that answer without end.
add_executable(cell_hostile_answers_test test/cell/hostile_answers_test.cpp testing/soak/peer_links.cpp
                                         testing/soak/record.cpp testing/soak/table_store.cpp)
target_include_directories(cell_hostile_answers_test PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/test/cell)
target_link_libraries(cell_hostile_answers_test PRIVATE bramleygrade_entry Boost::unit_test_framework)
foreach(answers store_answers_without_end workers_answer_without_end store_answers_many_values
                workers_answer_many_values)
    add_test(NAME memory_of_an_entry_whose_${answers}
             COMMAND cell_hostile_answers_test --run_test=memory_of_an_entry_whose_${answers}
                     -- $<TARGET_FILE:bramleygrade>)
    set_tests_properties(memory_of_an_entry_whose_${answers} PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()

# The own interface against callers, operators and peers that send without end.
add_executable(hostile_callers_test test/hostile_callers_test.cpp)
target_include_directories(hostile_callers_test PRIVATE ${CMAKE_SOURCE_DIR}/test)
target_link_libraries(hostile_callers_test PRIVATE Boost::unit_test_framework Threads::Threads)
foreach(sender callers_send table_answers)
    add_test(NAME memory_of_an_entry_whose_${sender}_without_end
             COMMAND hostile_callers_test --run_test=memory_of_an_entry_whose_${sender}_without_end
                     -- $<TARGET_FILE:bramleygrade>)
    set_tests_properties(memory_of_an_entry_whose_${sender}_without_end
                         PROPERTIES RUN_SERIAL TRUE COST 1)
endforeach()
